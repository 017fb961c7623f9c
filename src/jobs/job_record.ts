import {Job} from './job.js';

/** How a task ended. */
export const TaskResult = {
  FINISHED: 'finished',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
  /** Cancelled, and it is certain that it never ran. */
  CANCELLED_BEFORE_START: 'cancelled-before-start',
} as const;

/** One of the values of {@link TaskResult}. */
export type TaskResult = (typeof TaskResult)[keyof typeof TaskResult];

/** One failed run of a task. */
export interface TaskFailure {
  worker: string;
  reason: string;
}

/** What a page stores of a task. */
export interface TaskRecord {
  /** Latest known checkpoint. */
  checkpoint?: string;
  /** Checkpoints that `checkpoint` replaced; workers may still report them. */
  earlierCheckpoints?: string[];
  failures?: TaskFailure[];
  /** Set once the task has ended. */
  result?: TaskResult;
}

/** What a page stores of a job. */
export interface JobRecord {
  job: Job;
  /** Wall-clock time of acceptance in ms since the Unix epoch. */
  acceptedWallMs: number;
  tasks: TaskRecord[];
  /** Wall-clock time in ms at which the last task ended. */
  endedWallMs?: number;
}

/** Name under which workers know a task of a job. */
export function taskIdOf(jobId: string, index: number): string {
  return `${jobId}/${index}`;
}
