import {Job} from '../jobs/job.js';
import {JobRecord, taskIdOf, TaskRecord} from '../jobs/job_record.js';
import {
  TaskLifeEvent,
  taskLifeCycle,
  TaskLifeState,
} from '../jobs/task_life_cycle.js';

/** Worker on which the resources of a task are committed. */
export interface TaskAssignment {
  worker: string;
  incarnation: string;
  /** False while the start command is queued. */
  isSent: boolean;
  /** Time on the worker's clock after which the start has no effect, in ms. */
  startBeforeMs: number;
  /** Time in ms at which the start command was sent; 0 if not known. */
  sentMs: number;
}

/** A job with the state of its tasks. */
export interface ShardJob {
  job: Job;
  record: JobRecord;
  tasks: ShardTask[];
  /** Version of the record that was last queued for storage. */
  version: number;
  /** Latest stored version of the record; 0 if it was never stored. */
  storedVersion: number;
  isCancelRequested: boolean;
}

/** State of a task at the owner of its shard. */
export class ShardTask {
  readonly taskId: string;
  state: TaskLifeState;
  assignment: TaskAssignment | undefined;
  /** Whether it was loaded from storage; it may already run on any worker. */
  isInherited = false;
  /** Workers with an orphan run of it: one that this owner did not place. */
  readonly orphanRunWorkers = new Set<string>();
  /** False only if the task certainly never ran on any worker. */
  mayHaveRun = false;
  /** Whether a worker has reported that it finished the task. */
  isKnownFinished = false;
  /** Version of the job's record that includes all changes of this task. */
  requiredVersion = 0;
  /** Completed fraction of the work in the latest report, 0 to 1. */
  progress = 0;
  /** First reported progress of the current run, with the owner's time. */
  progressBaseline: {progress: number; atMs: number} | undefined;
  waitingSinceMs = 0;
  /** Workers that still have a record of an earlier run. */
  readonly workersWithRecord = new Set<string>();
  /** IDs of tasks that are being evicted in favour of this one. */
  readonly victims = new Set<string>();

  constructor(
    readonly shardJob: ShardJob,
    readonly index: number,
    initial: TaskLifeState = taskLifeCycle.initial,
  ) {
    this.taskId = taskIdOf(shardJob.job.id, index);
    this.state = initial;
  }

  /** Stored state of the task, which is one item of the record of its job. */
  get record(): TaskRecord {
    return this.shardJob.record.tasks[this.index]!;
  }

  /** Whether all changes of the task are stored; attached jobs need not be. */
  get isStored(): boolean {
    const {job, storedVersion} = this.shardJob;
    return job.isAttached || storedVersion >= this.requiredVersion;
  }

  /** Whether the life cycle has a transition for the event in this state. */
  canApply(event: TaskLifeEvent): boolean {
    return taskLifeCycle.next(this.state, event) !== undefined;
  }

  /**
   * Changes the state by the transition of the event in the life cycle.
   *
   * @returns False, without effect, if there is no such transition.
   */
  apply(event: TaskLifeEvent): boolean {
    const next = taskLifeCycle.next(this.state, event);
    if (next === undefined) return false;
    this.state = next;
    return true;
  }
}
