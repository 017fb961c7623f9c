import {Resources} from './resources.js';

/** Fencing fields that every command to a worker carries. */
export interface CommandContext {
  /** Shard (rack) that the worker belongs to. */
  shard: string;
  /** Epoch of the shard owner; a worker refuses any below its highest one. */
  epoch: number;
  /** Incarnation for which the command is meant; another one refuses it. */
  incarnation: string;
}

/** State of a task on a worker. */
export const WorkerTaskState = {
  RUNNING: 'running',
  FINISHED: 'finished',
  FAILED: 'failed',
  /** Stopped by lease expiry, by a command, or after a checkpoint. */
  STOPPED: 'stopped',
} as const;

/** One of the values of {@link WorkerTaskState}. */
export type WorkerTaskState =
  (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** Report of one task on a worker. Only running tasks hold resources. */
export interface WorkerTask {
  taskId: string;
  state: WorkerTaskState;
  /** Kind of work the task performs, for example 'catalogue-render'. */
  kind: string;
  /** Resources committed to the task. */
  resources: Resources;
  /** Measured resource usage; delayed by seconds. */
  usage: Resources;
  /** Completed fraction of the work, 0 to 1; always 0 for endless tasks. */
  progress: number;
  /** Measured speed relative to a run without interference; delayed. */
  speed: number;
  /** Fraction of full speed that the throttle allows; 1 if not throttled. */
  throttle: number;
  /** End of the lease on the worker's clock, in ms. */
  leaseUntilMs: number;
  /** Latest checkpoint, if one was taken. */
  checkpoint?: string;
  /** Reason of the failure, if the task failed. */
  failure?: string;
}

/** Reason for which a worker refused a command; it then had no effect. */
export type WorkerRefusal = 'epoch' | 'incarnation' | 'late' | 'unknown-task';

/** Response of a worker to any command. */
export interface WorkerReport {
  worker: string;
  /** Unique ID of this start of the worker. */
  incarnation: string;
  /** Reading of the worker's monotonic clock at the response, in ms. */
  clockMs: number;
  capacity: Resources;
  /** True once the removal of the worker's VM is announced. */
  leaving: boolean;
  /** Set if the command was refused. */
  refusal?: WorkerRefusal;
  /** All tasks with a record on the worker; empty if it refused the epoch. */
  tasks: WorkerTask[];
}

/** Command that starts a task. */
export interface StartCommand {
  taskId: string;
  kind: string;
  resources: Resources;
  /** Deadline on the worker's clock in ms; a later arrival is refused. */
  startBeforeMs: number;
  /** Initial end of the lease on the worker's clock, in ms. */
  leaseUntilMs: number;
  /** Checkpoint to resume from. @default start from the beginning */
  checkpoint?: string;
  /** Description of the work; opaque to the scheduler. */
  payload: unknown;
}

/**
 * Sends commands to one worker. A command that fails may have taken effect,
 * unless the result code of the error states that it did not run.
 */
export interface WorkerClient {
  /** Reads all tasks and makes the worker refuse lower epochs from now on. */
  readBack(context: CommandContext): Promise<WorkerReport>;
  /** Starts a task; no effect if the worker already has a record of it. */
  start(context: CommandContext, command: StartCommand): Promise<WorkerReport>;
  /** Extends the leases of all running tasks up to `leaseUntilMs`. */
  renew(context: CommandContext, leaseUntilMs: number): Promise<WorkerReport>;
  /** Creates a checkpoint of a task, which keeps running. */
  checkpoint(context: CommandContext, taskId: string): Promise<WorkerReport>;
  /** Limits a task to the fraction `throttle` of its full speed. */
  throttle(
    context: CommandContext,
    command: {taskId: string; throttle: number},
  ): Promise<WorkerReport>;
  /** Stops a task; no effect if it does not run. */
  stop(context: CommandContext, taskId: string): Promise<WorkerReport>;
  /** Deletes the worker's records of tasks that no longer run. */
  forget(context: CommandContext, taskIds: string[]): Promise<WorkerReport>;
}
