import {Deployment, jobId, Step} from '../stand_ins/deployment.js';
import {sleep} from '../stand_ins/http.js';
import {Record} from '../stand_ins/record.js';
import {RunRules} from '../stand_ins/run_rules.js';

const isTrouble = process.env.TROUBLE !== '0';
const record = new Record('review/2/record.txt');
const rules = new RunRules(record);

const MINUTE_MS = 60_000;
const DAY_MS = 24 * 60 * MINUTE_MS;
const MINUTES_OF_YEAR = 365 * 24 * 60;

/** Work of the tasks, and time in ms between two ordinary jobs. */
const TASK_MS = 1000;
const JOB_INTERVAL_MS = 500;

/** Number of ordinary jobs before the schedule and after it. */
const JOBS_BEFORE = 4;
const JOBS_AFTER = 10;

/** Time in ms after which all ordinary jobs have to be done; `finish_s` is 14. */
const WAIT_MS = 30_000;

const STEP: Step = {
  count: 1,
  cpu: 1000,
  memoryRequestMb: 500,
  estimatedMs: TASK_MS,
};

const deployment = new Deployment({
  record,
  nodes: 3,
  executors: 8,
  cpu: 32_000,
  memoryMb: 128_000,
  endingOf: () => ({afterMs: TASK_MS, how: 'done'}),
  observer: rules,
});

async function submitJobs(first: number, count: number): Promise<string[]> {
  const accepted: string[] = [];
  for (let number = first; number < first + count; number++) {
    const id = jobId(number);
    if (await deployment.submit(id, [STEP])) accepted.push(id);
    await sleep(JOB_INTERVAL_MS);
  }
  return accepted;
}

/** Returns the states of jobs once all are done, or after a time. */
async function statesOf(ids: readonly string[]): Promise<string[]> {
  const untilMs = performance.now() + WAIT_MS;
  for (;;) {
    const states = await Promise.all(ids.map((id) => deployment.stateOf(id)));
    const areDone = states.every((state) => state === 'succeeded');
    if (areDone || performance.now() >= untilMs) return states;
    await sleep(1000);
  }
}

async function play(): Promise<number> {
  await deployment.start();
  await sleep(1500);
  const ids = await submitJobs(0, JOBS_BEFORE);
  if (ids.length < JOBS_BEFORE) return 2;
  if (isTrouble) {
    const isAccepted = await deployment.submit(jobId(99), [STEP], {
      repetitions: MINUTES_OF_YEAR,
      firstRunMs: Date.now() - 340 * DAY_MS,
      intervalMs: MINUTE_MS,
    });
    record.add(`the schedule is accepted: ${isAccepted}`);
  }
  ids.push(...(await submitJobs(JOBS_BEFORE, JOBS_AFTER)));
  const states = await statesOf(ids);
  for (const [number, id] of ids.entries()) {
    const state = states[number]!;
    record.add(`job ${id} is ${state}`);
    if (state === 'succeeded') continue;
    record.breakRule(
      `LOST: job ${id} was accepted and is ${state} ${WAIT_MS / 1000} s after the last job`,
    );
  }
  record.add(
    `programs that ended by themselves: ${deployment.nodes.ownExits.join(' ')}`,
  );
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
