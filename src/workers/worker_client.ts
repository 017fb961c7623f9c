import {Resources} from './resources.js';

/** What every command to a worker carries. */
export interface CommandContext {
  /** Shard (rack) that the worker belongs to. */
  shard: string;
  /** Epoch of the owner; the worker refuses lower ones than it has seen. */
  epoch: number;
  /** Incarnation of the worker that the command is meant for. */
  incarnation: string;
}

/** State of a task on a worker. */
export const WorkerTaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  /** Stopped by its lease, by a command, or after a checkpoint. */
  STOPPED: 'stopped',
} as const;

/** One of the values of {@link WorkerTaskState}. */
export type WorkerTaskState =
  (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** A task as the worker reports it. Only running tasks hold resources. */
export interface WorkerTask {
  taskId: string;
  state: WorkerTaskState;
  /** Kind of work, for example 'catalogue-render'. */
  kind: string;
  /** Resources committed to the task. */
  resources: Resources;
  /** Measured use; lags behind by seconds. */
  usage: Resources;
  /** Share of the work that is done, from 0 to 1; 0 for endless tasks. */
  progress: number;
  /** Speed relative to an undisturbed run, lagging. */
  speed: number;
  /** Share of its speed that a throttled task keeps; 1 means no throttle. */
  throttle: number;
  /** End of the lease in the worker's clock. */
  leaseUntilMs: number;
  /** Latest checkpoint, if there is one. */
  checkpoint?: string;
  /** Why the task failed. */
  failure?: string;
}

/** Why a worker refused a command before it had any effect. */
export type WorkerRefusal = 'epoch' | 'incarnation' | 'late' | 'unknown-task';

/** Answer of a worker to any command. */
export interface WorkerReport {
  worker: string;
  /** Differs for each start of the worker. */
  incarnation: string;
  /** The worker's monotonic clock in ms when it answered. */
  clockMs: number;
  capacity: Resources;
  /** True once the worker's VM is about to be removed. */
  leaving: boolean;
  /** Set if the command was refused; it then had no effect. */
  refusal?: WorkerRefusal;
  /** All tasks the worker knows; empty for a refusal of an old epoch. */
  tasks: WorkerTask[];
}

/** Command to run a task. */
export interface StartCommand {
  taskId: string;
  kind: string;
  resources: Resources;
  /** The worker refuses the command after this reading of its clock, in ms. */
  startBeforeMs: number;
  /** First end of the lease in the worker's clock, in ms. */
  leaseUntilMs: number;
  /** Checkpoint to resume from. @default start from the beginning */
  checkpoint?: string;
  /** What to run; opaque to the scheduler. */
  payload: unknown;
}

/**
 * Commands to one worker. A call that throws may have taken effect unless its
 * code says that it did not run.
 */
export interface WorkerClient {
  /** Lists the tasks and makes the worker remember the epoch. */
  readBack(context: CommandContext): Promise<WorkerReport>;
  /** Starts a task; repeating it for a task that is there has no effect. */
  start(context: CommandContext, command: StartCommand): Promise<WorkerReport>;
  /** Extends the leases of all running tasks up to `leaseUntilMs`. */
  renew(context: CommandContext, leaseUntilMs: number): Promise<WorkerReport>;
  /** Writes a checkpoint; the task goes on. */
  checkpoint(context: CommandContext, taskId: string): Promise<WorkerReport>;
  /** Slows a task down to `throttle` of its speed. */
  throttle(
    context: CommandContext,
    command: {taskId: string; throttle: number},
  ): Promise<WorkerReport>;
  /** Stops a task; a stopped or absent task stays as it is. */
  stop(context: CommandContext, taskId: string): Promise<WorkerReport>;
  /** Drops the records of tasks that no longer run. */
  forget(context: CommandContext, taskIds: string[]): Promise<WorkerReport>;
}
