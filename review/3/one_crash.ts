import {Deployment, jobId} from '../stand_ins/deployment.js';
import {sleep} from '../stand_ins/http.js';
import {Record} from '../stand_ins/record.js';
import {RunRules} from '../stand_ins/run_rules.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = new Record('review/3/record.txt');
const rules = new RunRules(record);

/** A scheduled job: two tasks of 28 s, every 3 s. */
const TASK_MS = 28_000;
const INTERVAL_MS = 3000;
const REPETITIONS = 10;

/** Time in ms from the first start to the loss of one of eight executors. */
const LOSS_MS = 5000;

/** Time in ms after which another executor comes at its address. */
const ADDRESS_FREE_MS = 22_000;

const deployment = new Deployment({
  record,
  nodes: 3,
  executors: 8,
  cpu: 32_000,
  memoryMb: 128_000,
  endingOf: () => ({afterMs: TASK_MS, how: 'done'}),
  observer: rules,
});

async function play(): Promise<number> {
  await deployment.start();
  await sleep(1500);
  const id = jobId(1);
  const steps = [
    {count: 2, cpu: 3000, memoryRequestMb: 6000, estimatedMs: TASK_MS},
  ];
  const firstRunMs = Date.now() + 1000;
  const isAccepted = await deployment.submit(id, steps, {
    repetitions: REPETITIONS,
    firstRunMs,
    intervalMs: INTERVAL_MS,
  });
  if (!isAccepted) return 2;
  await sleep(1000 + LOSS_MS);
  const victim = deployment.executors.find(({tasks}) => tasks.length > 0);
  if (!victim) return 2;
  if (isTrouble) await deployment.lose(victim, ADDRESS_FREE_MS);
  const lastEndMs =
    firstRunMs + (REPETITIONS - 1) * INTERVAL_MS + TASK_MS + 15_000;
  let state = '';
  while (Date.now() < lastEndMs) {
    await sleep(500);
    const now = await deployment.stateOf(id);
    if (now !== state) record.add(`job ${id} is ${now}`);
    state = now;
    if (state !== 'running' && state !== 'queued') break;
  }
  if (state === 'failed') {
    record.breakRule(
      `LOST: job ${id} is shown as failed; no run of it has ended failed`,
    );
  } else if (state !== 'succeeded') {
    record.breakRule(`LOST: job ${id} is ${state} long after its last task`);
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
