import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {
  JobOrder,
  JobOrderContext,
} from '../../src/orchestrator/jobs/job_order.js';
import {JobState, StepState} from '../../src/orchestrator/jobs/job_state.js';
import {TaskState} from '../../src/orchestrator/runs/task_state.js';
import {simpleStep} from '../../testing/simple_definitions.js';
import {RunTimeEstimates} from '../../src/orchestrator/runs/run_time_estimates.js';
import {Queue} from '../../src/work/configuration.js';
import {JobDefinition, StepDefinition} from '../../src/work/job_definition.js';

/** Options of {@link runOverload}. */
export interface OverloadOptions {
  seed: number;
  order: JobOrder;
  queue: Queue;
  /** Work that arrives, as a multiple of what the slots can do. */
  load: number;
  /** Load during the burst, from 5 to 12 s. @default that of the rest */
  burstLoad?: number;
  /** Number of tasks that run at the same time. @default 400 */
  slots?: number;
  /** Time in ms for which jobs arrive. @default 40000 */
  arrivalsMs?: number;
  /** Learns the run times. @default not learned */
  estimates?: RunTimeEstimates;
}

/** Share of the jobs, weighted by work, that ended within their objective. */
export interface OverloadResult {
  onTime: number;
  /** Within three times the objective. */
  late: number;
  /** The same as `onTime` for the largest tenth of the jobs. */
  onTimeOfLargest: number;
}

interface ModelJob {
  state: JobState;
  arrivedMs: number;
  /** Actual run time in ms by task name. */
  tookMs: ReadonlyMap<string, number>;
  objectiveMs: number;
  work: number;
  endedMs: number;
}

const STEP_MS = 50;
const MEAN_STEPS = 2;
const MEAN_WIDTH = 20;
const MAX_WIDTH = 80;
const WIDTH_DEVIATION = 0.6;
const MEAN_TASK_MS = 2200;
const TASK_DEVIATION = 0.5;
const MAX_TASK_RATIO = 2.5;
/** Standard deviation of the logarithm of the error of declared run times. */
const ESTIMATE_DEVIATION = 0.6;
const LATE_MULTIPLE = 3;
const LARGEST_SHARE = 0.1;
const BURST_FROM_MS = 5000;
const BURST_TO_MS = 12_000;

function logNormal(random: RandomSource, deviation: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(deviation * normal - deviation ** 2 / 2);
}

function createSteps(random: RandomSource): StepDefinition[] {
  const count = 1 + random.nextInteger(2 * MEAN_STEPS - 1);
  return Array.from({length: count}, (_, number) => {
    const width = MEAN_WIDTH * logNormal(random, WIDTH_DEVIATION);
    const error = logNormal(random, ESTIMATE_DEVIATION);
    return simpleStep({
      taskCount: Math.max(1, Math.min(MAX_WIDTH, Math.round(width))),
      estimatedMs: MEAN_TASK_MS * error,
      after: number === 0 ? [] : [number - 1],
    });
  });
}

function createJob(
  random: RandomSource,
  {id, arrivedMs, queue}: {id: string; arrivedMs: number; queue: Queue},
): ModelJob {
  const definition: JobDefinition = {
    id,
    queue: queue.name,
    service: queue.service,
    specification: '',
    steps: createSteps(random),
    repetitions: 0,
    firstRunMs: 0,
    intervalMs: 0,
  };
  const state = new JobState(definition, arrivedMs);
  state.createDueOccurrences(arrivedMs);
  const tookMs = new Map<string, number>();
  let chainMs = 0;
  let work = 0;
  for (const {tasks} of state.occurrence(0).steps) {
    let longestMs = 0;
    for (const {name} of tasks) {
      const ratio = Math.min(MAX_TASK_RATIO, logNormal(random, TASK_DEVIATION));
      tookMs.set(name, MEAN_TASK_MS * ratio);
      longestMs = Math.max(longestMs, MEAN_TASK_MS * ratio);
      work += MEAN_TASK_MS * ratio;
    }
    chainMs += longestMs;
  }
  const objectiveMs = queue.stretch * chainMs + queue.targetLatencyMs;
  return {state, arrivedMs, tookMs, objectiveMs, work, endedMs: Infinity};
}

/** Mean work of a job in ms of one slot. */
const MEAN_WORK_MS = MEAN_STEPS * MEAN_WIDTH * MEAN_TASK_MS;

/**
 * Models one kind of work on slots that are all alike: jobs of several steps of
 * parallel tasks, whose run times differ from the declared ones.
 */
export function runOverload(options: OverloadOptions): OverloadResult {
  const {seed, order, queue, slots = 400, arrivalsMs = 40_000} = options;
  const random = new SeededRandom(seed);
  const jobs: ModelJob[] = [];
  const running: Array<{job: ModelJob; task: TaskState; endMs: number}> = [];
  let nextMs = 0;
  for (let nowMs = 0; nowMs < 3 * arrivalsMs; nowMs += STEP_MS) {
    while (nextMs <= nowMs && nextMs < arrivalsMs) {
      const id = `job${jobs.length}`;
      jobs.push(createJob(random, {id, arrivedMs: nextMs, queue}));
      const isBurst = nextMs >= BURST_FROM_MS && nextMs < BURST_TO_MS;
      const load = (isBurst ? options.burstLoad : undefined) ?? options.load;
      const intervalMs = MEAN_WORK_MS / (load * slots);
      nextMs += -Math.log(1 - random.next()) * intervalMs;
    }
    for (const run of [...running]) {
      if (run.endMs > nowMs) continue;
      running.splice(running.indexOf(run), 1);
      finish(run.job, run.task, nowMs);
      learn(options, run.job, run.task);
    }
    const open = new Map(
      jobs
        .filter(({state}) => state.hasReadyTasks)
        .map((job) => [job.state, job] as const),
    );
    const context: JobOrderContext = {wallMs: nowMs, termsOf: () => queue};
    for (const state of order.sort(open.keys(), context)) {
      if (running.length >= slots) break;
      const job = open.get(state)!;
      for (const task of readyTasks(state)) {
        if (running.length >= slots) break;
        start(task);
        const endMs = nowMs + job.tookMs.get(task.name)!;
        running.push({job, task, endMs});
      }
    }
  }
  return summarize(jobs);
}

function* readyTasks(state: JobState): Generator<TaskState> {
  const occurrence = state.occurrence(0);
  for (let step = 0; step < occurrence.steps.length; step++) {
    if (!state.isStepReady(occurrence, step)) continue;
    const {tasks}: StepState = occurrence.steps[step]!;
    for (const task of tasks) if (task.state === 'waiting') yield task;
  }
}

function start(task: TaskState): void {
  for (const event of ['assigned', 'committed', 'confirmed'] as const) {
    task.apply(event);
  }
  task.job.recordStarted();
}

function learn(
  {estimates, queue}: OverloadOptions,
  job: ModelJob,
  task: TaskState,
): void {
  const {occurrence, step} = task.position;
  estimates?.record(queue.name, {
    estimatedMs: task.step.estimatedMs,
    tookMs: job.tookMs.get(task.name)!,
    step: job.state.occurrence(occurrence).steps[step]!.runTimes,
  });
}

function finish(job: ModelJob, task: TaskState, nowMs: number): void {
  task.apply('done');
  job.state.recordTaskDone(task, nowMs);
  if (job.state.isComplete) job.endedMs = nowMs;
}

function summarize(jobs: readonly ModelJob[]): OverloadResult {
  const bySize = [...jobs].sort((left, right) => right.work - left.work);
  const largest = bySize.slice(0, Math.ceil(jobs.length * LARGEST_SHARE));
  return {
    onTime: shareWithin(jobs, 1),
    late: shareWithin(jobs, LATE_MULTIPLE) - shareWithin(jobs, 1),
    onTimeOfLargest: shareWithin(largest, 1),
  };
}

/** Returns the share of the worth of jobs that end within a multiple. */
function shareWithin(jobs: readonly ModelJob[], multiple: number): number {
  const worthOf = ({work}: ModelJob): number =>
    0.3 + (0.7 * work) / MEAN_WORK_MS;
  const isWithin = ({arrivedMs, endedMs, objectiveMs}: ModelJob): boolean =>
    endedMs - arrivedMs <= multiple * objectiveMs;
  const sum = (some: readonly ModelJob[]): number =>
    some.reduce((total, job) => total + worthOf(job), 0);
  return sum(jobs.filter(isWithin)) / sum(jobs);
}
