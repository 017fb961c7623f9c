import {Queue} from '../work/configuration.js';
import {JobState} from './job_state.js';
import {remainingChainMs, totalChainMs} from './job_chain.js';

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
const USEFUL_UNTIL = 3;

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
const Prospect = {
  /** It can still end in time. */
  IN_TIME: 0,
  /** It runs until it is cancelled. */
  LASTING: 1,
  /** It will be late, and is still of use. */
  LATE: 2,
  /** It is too late to be of use. */
  OVERDUE: 3,
} as const;

interface RankedJob {
  job: JobState;
  priority: number;
  prospect: number;
  /** Time in ms by which the job's remaining chain has to start. */
  latestStartMs: number;
}

/**
 * By the queue's priority, then jobs that can end in time before jobs that
 * cannot, then by the latest start that keeps the objective. Under overload,
 * first come first served would make every job late. Jobs that last give back
 * nothing by themselves, so that those that end soon go before them.
 */
export class ProspectOrder implements JobOrder {
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    const ranked = [...jobs].map((job) => rank(job, context));
    ranked.sort(
      (left, right) =>
        left.priority - right.priority ||
        left.prospect - right.prospect ||
        left.latestStartMs - right.latestStartMs,
    );
    return ranked.map(({job}) => job);
  }
}

/** Time in ms from its due time in which a job should end. */
export function objectiveMs(job: JobState, queue: Queue): number {
  return queue.stretch * totalChainMs(job) + queue.targetLatencyMs;
}

function rank(job: JobState, context: JobOrderContext): RankedJob {
  const queue = context.queueOf(job);
  const priority = priorityOf(job, context);
  const lasts = job.definition.steps.some((step) => step.isLongRunning);
  if (lasts || !queue) {
    const latestStartMs = job.acceptedWallMs;
    return {job, priority, prospect: Prospect.LASTING, latestStartMs};
  }
  const limitMs = objectiveMs(job, queue);
  const remainingMs = remainingChainMs(job);
  const sinceMs = job.dueWallMs;
  const latestStartMs = sinceMs + limitMs - remainingMs;
  const usefulUntilMs = sinceMs + limitMs * USEFUL_UNTIL - remainingMs;
  let prospect: number = Prospect.OVERDUE;
  if (context.wallMs <= latestStartMs) prospect = Prospect.IN_TIME;
  else if (context.wallMs <= usefulUntilMs) prospect = Prospect.LATE;
  return {job, priority, prospect, latestStartMs};
}

function priorityOf(job: JobState, context: JobOrderContext): number {
  return context.queueOf(job)?.priority ?? LOWEST_PRIORITY;
}
