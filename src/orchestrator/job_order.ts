import {Queue} from '../work/configuration.js';
import {JobState} from './job_state.js';
import {remainingCriticalPathMs, totalCriticalPathMs} from './critical_path.js';

/** What an order looks at. */
export interface JobOrderContext {
  /** Unix time in ms. */
  wallMs: number;
  /** Looks up the queue of a job; undefined if it was removed. */
  queueOf: (job: JobState) => Queue | undefined;
}

/** Order in which waiting jobs get workers. */
export interface JobOrder {
  /** Sorts jobs, the first to be served first. */
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[];
}

/** Priority that jobs of a removed queue get. */
const LOWEST_PRIORITY = 1000;

/** Multiple of the objective up to which a late job is still of use. */
const USEFUL_OBJECTIVE_MULTIPLE = 3;

/** By the queue's priority, then by the time of acceptance. */
export class ArrivalOrder implements JobOrder {
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    return [...jobs].sort(
      (left, right) =>
        priorityOf(left, context) - priorityOf(right, context) ||
        left.acceptedWallMs - right.acceptedWallMs,
    );
  }
}

/** How a job stands against its objective. */
const DeadlineClass = {
  /** It can still end in time. */
  ON_TIME: 0,
  /** It runs until it is cancelled. */
  LONG_RUNNING: 1,
  /** It will be late, and is still of use. */
  LATE: 2,
  /** It is too late to be of use. */
  EXPIRED: 3,
} as const;

interface RankedJob {
  job: JobState;
  priority: number;
  deadlineClass: number;
  /** Time in ms by which the job's remaining chain has to start. */
  latestStartMs: number;
}

/**
 * By the queue's priority, then jobs that can end in time before jobs that
 * cannot, then by the latest start that keeps the objective. Under overload,
 * first come first served would make every job late. Jobs that last give back
 * nothing by themselves, so that those that end soon go before them.
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

/** Time in ms from its due time in which a job should end. */
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
