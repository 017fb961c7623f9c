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

/** Time in ms for which a report is under way, longer than other responses. */
const REPORT_DELAY_MS = 20;

/** Number of freezes at most. */
const FREEZES = 24;

/** Time in ms from one freeze to the next. */
const FREEZE_INTERVAL_MS = 3500;

/** Mean work in ms of a task; between half and one and a half of it. */
const WORK_MS = 1700;
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
  recordFile: 'review/6/record.txt',
  nodes: 9,
  routes: [route],
  behaviorOf: () => ({workMs: WORK_MS * (0.5 + Math.random()), end: 'done'}),
  sizeOf: () => SIZE,
  reportDelayMs: () => REPORT_DELAY_MS,
  onStartArrived: (executor, task) => {
    if (!isArmed || !executor.hasReportUnderWay) return;
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

const {cpu, memoryMb: memoryRequestMb} = SIZE;
const step = {count: 5, cpu, memoryRequestMb, estimatedMs: WORK_MS};
const body = {specification: 'render the catalogue', steps: [step]};

/** Returns a task that ran on two executors at the same time, if any. */
function findOverlap(): string | undefined {
  const active = new Map<string, string>();
  for (const {event, details, atMs} of deployment.events) {
    const {executor, task, run} = details as {
      executor: string;
      task: string;
      run: number;
    };
    if (event === 'start') {
      const other = active.get(task);
      const where = `run ${run} of ${task} began on ${executor} at ${atMs} ms`;
      if (other) return `${where} while ${other}`;
      active.set(task, `run ${run} worked on ${executor}`);
    } else if (event === 'end') active.delete(task);
  }
  return undefined;
}

await runCase(deployment, async () => {
  let isOver = false;
  let number = 0;
  const client = async (): Promise<void> => {
    while (!isOver) {
      number += 1;
      const id = number.toString(16).padStart(16, '0');
      void deployment.call('POST', `/catalogue/${id}`, body);
      await pause(200 + 600 * Math.random());
    }
  };
  const clients = client();
  await pause(3000);
  for (let freezes = 0; freezes < FREEZES; freezes++) {
    isArmed = process.env.TROUBLE !== '0';
    await pause(FREEZE_INTERVAL_MS);
    if (findOverlap() !== undefined) break;
  }
  isOver = true;
  await clients;
  await pause(3000);
  const overlap = findOverlap();
  return overlap && `TWICE: ${overlap}`;
});
