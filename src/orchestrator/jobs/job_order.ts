import {QueueTerms} from '../../work/configuration.js';
import {JobState} from './job_state.js';
import {
  declaredDuration,
  remainingCriticalPathMs,
  StepDuration,
  totalCriticalPathMs,
} from './critical_path.js';
import {RunTimeEstimates} from '../runs/run_time_estimates.js';

/** Inputs of a {@link JobOrder} besides the jobs. */
export interface JobOrderContext {
  /** Unix time in ms. */
  wallMs: number;
  /** Returns the terms under which a job runs. */
  termsOf: (job: JobState) => QueueTerms;
}

/** Strategy for the order in which waiting jobs are assigned to workers. */
export interface JobOrder {
  /** Returns the jobs in the order in which they are served. */
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[];
}

/** Multiple of the objective up to which a late result is still useful. */
const USEFUL_OBJECTIVE_MULTIPLE = 3;

/** Orders by the priority of the queue, then by the time of acceptance. */
export class ArrivalOrder implements JobOrder {
  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    return [...jobs].sort(
      (left, right) =>
        context.termsOf(left).priority - context.termsOf(right).priority ||
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
  /** Whether the job counts as one that has not begun. */
  isFresh: boolean;
  /** Unix time in ms by which the remaining critical path has to start. */
  latestStartMs: number;
}

/** Options of {@link DeadlineOrder}. */
export interface DeadlineOrderOptions {
  /**
   * Expected run times, from which objectives and remaining times are taken.
   * @default as declared
   */
  estimates?: RunTimeEstimates;
  /**
   * Whether jobs that have begun go before others of their class. Under
   * overload, the order of deadlines alone begins each job at the last moment
   * and then ends none of them in time.
   *
   * @default false
   */
  finishesBegun?: boolean;
  /**
   * Multiple of the remaining time that a job must have left to be begun as one
   * that can be on time.
   *
   * @default 1
   */
  freshMargin?: number;
}

/**
 * Orders by the priority of the queue, then by {@link DeadlineClass}, then by
 * the latest start that meets the objective. Under overload, first come, first
 * served would make every job late. Long-running jobs never release their
 * resources by themselves, so jobs that can finish on time go before them.
 */
export class DeadlineOrder implements JobOrder {
  private readonly finishesBegun: boolean;
  private readonly freshMargin: number;

  constructor(private readonly options: DeadlineOrderOptions = {}) {
    this.finishesBegun = options.finishesBegun ?? false;
    this.freshMargin = options.freshMargin ?? 1;
  }

  sort(jobs: Iterable<JobState>, context: JobOrderContext): JobState[] {
    const ranked = [...jobs].map((job) => this.rank(job, context));
    ranked.sort(
      (left, right) =>
        left.priority - right.priority ||
        left.deadlineClass - right.deadlineClass ||
        Number(left.isFresh) - Number(right.isFresh) ||
        left.latestStartMs - right.latestStartMs,
    );
    return ranked.map(({job}) => job);
  }

  private rank(job: JobState, context: JobOrderContext): RankedJob {
    const terms = context.termsOf(job);
    const {priority} = terms;
    const isFresh = this.finishesBegun && !hasBegun(job);
    const {steps} = job.definition;
    if (steps.some(({isLongRunning}) => isLongRunning)) {
      const deadlineClass = DeadlineClass.LONG_RUNNING;
      const latestStartMs = job.acceptedWallMs;
      return {job, priority, deadlineClass, isFresh: false, latestStartMs};
    }
    const duration = durationOf(job, this.options.estimates);
    const limitMs = objectiveMs(job, terms, duration);
    const remainingMs = remainingCriticalPathMs(job, duration);
    const neededMs = remainingMs * (isFresh ? this.freshMargin : 1);
    const dueMs = job.dueWallMs;
    const latestStartMs = dueMs + limitMs - neededMs;
    const usefulUntilMs =
      dueMs + limitMs * USEFUL_OBJECTIVE_MULTIPLE - remainingMs;
    let deadlineClass: number = DeadlineClass.EXPIRED;
    if (context.wallMs <= latestStartMs) deadlineClass = DeadlineClass.ON_TIME;
    else if (context.wallMs <= usefulUntilMs) {
      deadlineClass = DeadlineClass.LATE;
    }
    return {job, priority, deadlineClass, isFresh, latestStartMs};
  }
}

/** Returns the expected durations of the steps of a job. */
export function durationOf(
  {definition}: JobState,
  estimates: RunTimeEstimates | undefined,
): StepDuration {
  if (!estimates) return declaredDuration;
  const {queue} = definition;
  return (step, state) => estimates.stepMs(queue, step, state?.runTimes);
}

/** Returns the time in ms, from its due time, in which a job should end. */
export function objectiveMs(
  job: JobState,
  {stretch, targetLatencyMs}: QueueTerms,
  duration: StepDuration = declaredDuration,
): number {
  const pathMs = totalCriticalPathMs(job, duration);
  return stretch * pathMs + targetLatencyMs;
}

/** Whether a job has begun; each occurrence of a scheduled job begins anew. */
function hasBegun({definition, hasStarted}: JobState): boolean {
  return hasStarted && definition.repetitions === 0;
}
