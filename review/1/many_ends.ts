import {Deployment, jobId} from '../stand_ins/deployment.js';
import {sleep} from '../stand_ins/http.js';
import {Record} from '../stand_ins/record.js';
import {RunRules} from '../stand_ins/run_rules.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = new Record('review/1/record.txt');
const rules = new RunRules(record);

/** Jobs of 36 tasks, each of which takes 3.5 s of a small part of an executor. */
const JOBS = 36;
const TASKS = 36;
const TASK_MS = 3500;

/** Time in ms for which no node is up. */
const DOWN_MS = 2800;

/** One way in ms between zones, as on the sheet. */
const ZONE_DELAY_MS = 5.4;

const deployment = new Deployment({
  record,
  nodes: 3,
  executors: 2,
  cpu: 32_000,
  memoryMb: 128_000,
  endingOf: () => ({afterMs: TASK_MS, how: 'done'}),
  observer: rules,
  executorDelayMs: ZONE_DELAY_MS,
});

async function play(): Promise<number> {
  await deployment.start();
  await sleep(1500);
  const ids = Array.from({length: JOBS}, (_, number) => jobId(number));
  const steps = [
    {count: TASKS, cpu: 40, memoryRequestMb: 64, estimatedMs: TASK_MS},
  ];
  const accepted = await Promise.all(
    ids.map((id) => deployment.submit(id, steps)),
  );
  if (accepted.includes(false)) return 2;
  for (let round = 0; rules.starts < JOBS * TASKS; round++) {
    if (round > 100) return 2;
    await sleep(50);
  }
  record.add(`all ${rules.starts} tasks have begun`);
  if (isTrouble) {
    await Promise.all(
      deployment.nodes.all.map((node) => deployment.nodes.kill(node)),
    );
    await sleep(DOWN_MS);
    for (const node of deployment.nodes.all) deployment.nodes.launch(node);
  }
  await sleep(isTrouble ? 14_000 : 8000);
  for (const id of ids) {
    const state = await deployment.stateOf(id);
    record.add(`job ${id} is ${state}`);
  }
  rules.finish();
  return record.broken.length > 0 ? 1 : 0;
}

let status = 2;
try {
  status = await play();
} catch (error) {
  record.add(`the case could not run: ${(error as Error).message}`);
} finally {
  await deployment.stop();
  record.add(`${record.broken.length} times a rule was broken`);
  record.write();
}
console.log(`exit ${status}, broken: ${record.broken.length}`);
for (const line of record.broken.slice(0, 3)) console.log(line);
process.exit(status);
