import {Queue} from '../work/configuration.js';
import {JobState} from './job_state.js';
import {remainingCriticalPathMs, totalCriticalPathMs} from './critical_path.js';

/** Inputs of a {@link JobOrder} besides the jobs. */
export interface JobOrderContext {
  /** Unix time in ms. */
  wallMs: number;
  /** Looks up the queue of a job; undefined if it was removed. */
  queueOf: (job: JobState) => Queue | undefined;
}

/** Strategy for the order in which waiting jobs are assigned to workers. */
export interface JobOrder {
  /** Returns the jobs in the order in which they are served. */
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[];
}

/** Priority of jobs whose queue was removed. */
const LOWEST_PRIORITY = 1000;

/** Multiple of the objective up to which a late result is still useful. */
const USEFUL_OBJECTIVE_MULTIPLE = 3;

/** Orders by the priority of the queue, then by the time of acceptance. */
export class ArrivalOrder implements JobOrder {
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    return [...jobs].sort(
      (left, right) =>
        priorityOf(left, context) - priorityOf(right, context) ||
        left.acceptedWallMs - right.acceptedWallMs,
    );
  }
}

/** Classes of jobs by their objective, in the order in which they run. */
const DeadlineClass = {
  /** Can still meet its objective. */
  ON_TIME: 0,
  /** Runs until it is cancelled. */
  LONG_RUNNING: 1,
  /** Will miss its objective, but the result is still useful. */
  LATE: 2,
  /** Too late for a useful result. */
  EXPIRED: 3,
} as const;

interface RankedJob {
  job: JobState;
  priority: number;
  deadlineClass: number;
  /** Unix time in ms by which the remaining critical path has to start. */
  latestStartMs: number;
}

/**
 * Orders by the priority of the queue, then by {@link DeadlineClass}, then by
 * the latest start that meets the objective. Under overload, first come, first
 * served would make every job late. Long-running jobs never release their
 * resources by themselves, so jobs that can finish on time go before them.
 */
export class DeadlineOrder implements JobOrder {
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    const ranked = [...jobs].map((job) => rank(job, context));
    ranked.sort(
      (left, right) =>
        left.priority - right.priority ||
        left.deadlineClass - right.deadlineClass ||
        left.latestStartMs - right.latestStartMs,
    );
    return ranked.map(({job}) => job);
  }
}

/** Returns the time in ms, from its due time, in which a job should end. */
export function objectiveMs(job: JobState, queue: Queue): number {
  return queue.stretch * totalCriticalPathMs(job) + queue.targetLatencyMs;
}

function rank(job: JobState, context: JobOrderContext): RankedJob {
  const queue = context.queueOf(job);
  const priority = priorityOf(job, context);
  const isLongRunning = job.definition.steps.some((step) => step.isLongRunning);
  if (isLongRunning || !queue) {
    const latestStartMs = job.acceptedWallMs;
    return {
      job,
      priority,
      deadlineClass: DeadlineClass.LONG_RUNNING,
      latestStartMs,
    };
  }
  const limitMs = objectiveMs(job, queue);
  const remainingMs = remainingCriticalPathMs(job);
  const dueMs = job.dueWallMs;
  const latestStartMs = dueMs + limitMs - remainingMs;
  const usefulUntilMs =
    dueMs + limitMs * USEFUL_OBJECTIVE_MULTIPLE - remainingMs;
  let deadlineClass: number = DeadlineClass.EXPIRED;
  if (context.wallMs <= latestStartMs) deadlineClass = DeadlineClass.ON_TIME;
  else if (context.wallMs <= usefulUntilMs) deadlineClass = DeadlineClass.LATE;
  return {job, priority, deadlineClass, latestStartMs};
}

function priorityOf(job: JobState, context: JobOrderContext): number {
  return context.queueOf(job)?.priority ?? LOWEST_PRIORITY;
}
