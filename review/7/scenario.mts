import {
  Deployment,
  HOST,
  pause,
  Route,
  runCase,
  SERVICE,
} from '../stand_ins_2/deployment.mjs';

/** Time in ms for which the owner stands still; node_freeze allows 3,500. */
const FREEZE_MS = 1700;

/** Number of freezes at most. */
const FREEZES = 8;

/** Time in ms from one freeze to the next. */
const FREEZE_INTERVAL_MS = 3000;

/** Mean work in ms of a task of other jobs; half to one and a half of it. */
const WORK_MS = 1700;

/** Work in ms of the task that is watched. */
const LONG_WORK_MS = 28_000;

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

let isArmed = false;

const deployment: Deployment = new Deployment({
  recordFile: 'review/7/record.txt',
  routes: [route],
  nodes: 9,
  behaviorOf: (task) => ({
    workMs: task === TASK ? LONG_WORK_MS : WORK_MS * (0.5 + Math.random()),
    end: 'done',
  }),
  sizeOf: () => SIZE,
  onStartArrived: (executor, task) => {
    if (!isArmed || !executor.running.includes(TASK)) return;
    isArmed = false;
    const {child, name} = deployment.owner;
    child!.kill('SIGSTOP');
    deployment.record('freeze', {node: name, executor: executor.id, task});
    setTimeout(() => {
      child!.kill('SIGCONT');
      deployment.record('wake', {node: name});
    }, FREEZE_MS);
  },
});

function body(count: number, estimatedMs: number): object {
  const {cpu, memoryMb: memoryRequestMb} = SIZE;
  const step = {count, cpu, memoryRequestMb, estimatedMs};
  return {specification: 'render the catalogue', steps: [step]};
}

await runCase(deployment, async () => {
  let isOver = false;
  const client = async (): Promise<void> => {
    for (let number = 1; !isOver; number++) {
      const id = number.toString(16).padStart(16, '0');
      void deployment.call('POST', `/catalogue/${id}`, body(6, WORK_MS));
      await pause(200 + 500 * Math.random());
    }
  };
  const clients = client();
  await pause(1000);
  const path = `/catalogue/${JOB}`;
  const reply = await deployment.call('POST', path, body(1, LONG_WORK_MS));
  if (reply.status !== 200) throw new Error('the job was not accepted');
  const freeze = async (): Promise<void> => {
    await pause(2000);
    for (let count = 0; count < FREEZES && !isOver; count++) {
      isArmed = process.env.TROUBLE !== '0';
      await pause(FREEZE_INTERVAL_MS);
    }
    isArmed = false;
  };
  const freezes = freeze();
  let state: string | undefined;
  const untilMs = performance.now() + 85_000;
  while (performance.now() < untilMs) {
    await pause(500);
    state = (await deployment.call('GET', path)).body.state;
    if (state === 'failed' || state === 'succeeded') break;
  }
  isOver = true;
  await clients;
  await freezes;
  await pause(2500);
  if (state === 'succeeded') return undefined;
  if (state !== 'failed') throw new Error(`the job is still ${state}`);
  return 'LOST: the job is shown as failed, though no executor has crashed and no run of it has failed';
});
