import {
  Deployment,
  HOST,
  pause,
  Route,
  runCase,
  SERVICE,
} from '../stand_ins_2/deployment.mjs';

/** Crashes of the executor on which the task runs; at most. */
const CRASHES = 5;

/** Time in ms for which a run goes on before its executor crashes. */
const RUN_BEFORE_CRASH_MS = 2500;

/** Time in ms for which a crashed executor is down; srv_crash allows 4,500. */
const DOWN_MS = 3000;

/** Work in ms of the task; it produces a checkpoint each 2,000 ms. */
const WORK_MS = 24_000;

/** Time in ms in which the job has to end. */
const END_TIMEOUT_MS = 95_000;

const JOB = '00000000000000c7';
const TASK = `${JOB}.0.0.0`;
const SIZE = {cpu: 3500, memoryMb: 6400};

const route: Route = {
  name: 'catalogue',
  host: HOST,
  prefix: '/catalogue/',
  service: SERVICE,
  priority: 2,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 1000,
  timeoutMs: 3000,
};

const deployment = new Deployment({
  recordFile: 'review/7/record.txt',
  executors: 30,
  routes: [route],
  behaviorOf: (task) => ({
    workMs: task === TASK ? WORK_MS : 1700,
    end: 'done',
    checkpoints: true,
  }),
  sizeOf: () => SIZE,
});

function body(tasks: number, estimatedMs: number): object {
  const {cpu, memoryMb} = SIZE;
  const step = {
    count: tasks,
    cpu,
    memoryRequestMb: memoryMb,
    estimatedMs,
    checkpoints: true,
  };
  return {specification: 'render the catalogue', steps: [step]};
}

/** Hands in a small job each second, as other clients do. */
async function submitOthers(isOver: () => boolean): Promise<void> {
  for (let number = 1; !isOver(); number++) {
    const id = number.toString(16).padStart(16, '0');
    await deployment.call('POST', `/catalogue/${id}`, body(4, 1700));
    await pause(1000);
  }
}

/** Crashes the executor that runs the task, up to five times. */
async function crashExecutors(isOver: () => boolean): Promise<void> {
  for (let crashes = 0; crashes < CRASHES && !isOver();) {
    await pause(100);
    const executor = deployment.executors.find(({running}) =>
      running.includes(TASK),
    );
    if (!executor) continue;
    await pause(RUN_BEFORE_CRASH_MS);
    if (!executor.running.includes(TASK)) continue;
    executor.crash();
    crashes += 1;
    await pause(DOWN_MS);
    await executor.start();
  }
}

await runCase(deployment, async () => {
  let isOver = false;
  const others = submitOthers(() => isOver);
  await pause(2000);
  const path = `/catalogue/${JOB}`;
  const reply = await deployment.call('POST', path, body(1, WORK_MS));
  if (reply.status !== 200) throw new Error('the job was not accepted');
  const crashes =
    process.env.TROUBLE === '0'
      ? Promise.resolve()
      : crashExecutors(() => isOver);
  let state: string | undefined;
  const untilMs = performance.now() + END_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    await pause(500);
    state = (await deployment.call('GET', path)).body.state;
    if (state === 'failed' || state === 'succeeded') break;
  }
  isOver = true;
  await others;
  await crashes;
  const failedEnds = deployment.events.filter(
    ({event, details}) => event === 'end' && details.how === 'failed',
  );
  if (state === 'succeeded') return undefined;
  if (state !== 'failed') throw new Error(`the job is still ${state}`);
  return `LOST: the job is shown as failed after ${failedEnds.length} ends "failed"`;
});
