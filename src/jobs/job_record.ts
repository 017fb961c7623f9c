import {Job} from './job.js';

/** How a task ended. */
export const TaskResult = {
  FINISHED: 'finished',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
  /** Cancelled, and certain not to have run. */
  CANCELLED_BEFORE_START: 'cancelled-before-start',
} as const;

/** One of the values of {@link TaskResult}. */
export type TaskResult = (typeof TaskResult)[keyof typeof TaskResult];

/** One failed run of a task. */
export interface TaskFailure {
  worker: string;
  reason: string;
}

/** State of a task as stored in a page. */
export interface TaskRecord {
  /** Latest known checkpoint. */
  checkpoint?: string;
  /** Superseded checkpoints, which workers may still report. */
  earlierCheckpoints?: string[];
  /** Failed runs so far. */
  failures?: TaskFailure[];
  /** Set once the task has ended. */
  result?: TaskResult;
}

/** State of a job as stored in a page. */
export interface JobRecord {
  job: Job;
  /** Wall-clock time of acceptance in ms since the Unix epoch. */
  acceptedWallMs: number;
  /** States of the tasks, by task index. */
  tasks: TaskRecord[];
  /** Wall-clock time in ms at which the last task ended. */
  endedWallMs?: number;
}

/** Returns the id by which workers know a task of a job. */
export function taskIdOf(jobId: string, index: number): string {
  return `${jobId}/${index}`;
}
