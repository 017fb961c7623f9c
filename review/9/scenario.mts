import {
  Deployment,
  HOST,
  pause,
  Route,
  runCase,
  SERVICE,
} from '../stand_ins_2/deployment.mjs';

/** Runs of a task that may end as failed, by the route of the job. */
const MAX_ATTEMPTS = 3;

/** Time in ms after which each run of the task fails by its own fault. */
const FAIL_AFTER_MS = 1700;

/** Time in ms in which the job is watched. */
const WATCH_MS = 30_000;

const JOB = '00000000000000c9';
const TASK = `${JOB}.0.0.0`;
const SIZE = {cpu: 3500, memoryMb: 6400};

function route(name: string): Route {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    service: SERVICE,
    priority: 2,
    maxAttempts: MAX_ATTEMPTS,
    stretch: 2,
    targetLatencyMs: 1000,
    timeoutMs: 3000,
  };
}

const staying = route('previews');
const removed = route('catalogue');

const deployment = new Deployment({
  recordFile: 'review/9/record.txt',
  routes: [staying, removed],
  behaviorOf: (task) => ({
    workMs: FAIL_AFTER_MS,
    end: task === TASK ? 'failed' : 'done',
  }),
  sizeOf: () => SIZE,
});

const {cpu, memoryMb: memoryRequestMb} = SIZE;
const step = {count: 1, cpu, memoryRequestMb, estimatedMs: FAIL_AFTER_MS};
const body = {specification: 'render the catalogue', steps: [step]};

function countEvents(name: string): number {
  return deployment.events.filter(
    ({event, details}) => event === name && details.task === TASK,
  ).length;
}

await runCase(deployment, async () => {
  const path = `${removed.prefix}${JOB}`;
  const reply = await deployment.call('POST', path, body);
  if (reply.status !== 200) throw new Error('the job was not accepted');
  await pause(1000);
  await deployment.call('GET', path);
  if (process.env.TROUBLE !== '0') deployment.configure([staying]);
  const untilMs = performance.now() + WATCH_MS;
  while (performance.now() < untilMs) {
    await pause(1000);
    await deployment.call('GET', path);
  }
  // The configuration no longer stands in the way of the question.
  if (process.env.TROUBLE !== '0') deployment.configure([staying, removed]);
  await pause(3000);
  const {body: answer} = await deployment.call('GET', path);
  const starts = countEvents('start');
  const failed = countEvents('end');
  if (starts < MAX_ATTEMPTS) throw new Error(`only ${starts} starts`);
  if (starts === MAX_ATTEMPTS) return undefined;
  return `BUDGET: ${starts} starts of a task of which ${failed} runs ended as failed; maxAttempts is ${MAX_ATTEMPTS}; the job is ${answer.state}`;
});
