import {Job} from '../jobs/job.js';
import {JobRecord, taskIdOf, TaskRecord} from '../jobs/job_record.js';
import {
  TaskLifeEvent,
  taskLifeCycle,
  TaskLifeState,
} from '../jobs/task_life_cycle.js';

/** Where a task's resources are committed. */
export interface TaskAssignment {
  worker: string;
  incarnation: string;
  /** False while the start waits for its turn to be sent. */
  isSent: boolean;
  /** In the worker's clock, a start can't take effect after this reading. */
  startBeforeMs: number;
}

/** A job with what is known of its tasks. */
export interface ShardJob {
  job: Job;
  record: JobRecord;
  tasks: ShardTask[];
  /** Version of the record that has been given to the pages. */
  version: number;
  /** Version of the record that is stored; 0 if none is. */
  storedVersion: number;
  isCancelRequested: boolean;
}

/** A task as the owner of its shard sees it. */
export class ShardTask {
  readonly taskId: string;
  state: TaskLifeState;
  assignment: TaskAssignment | undefined;
  /** An earlier owner may have started it, also where it is not found yet. */
  isInherited = false;
  /** Workers on which it runs although this owner did not place it there. */
  readonly strayWorkers = new Set<string>();
  /** False only if it is certain that no worker ever ran it. */
  mayHaveRun = false;
  /** A worker is known to have finished it. */
  isKnownFinished = false;
  /** The job's version that holds all that is known of the task. */
  requiredVersion = 0;
  /** Latest report of progress, speed and use. */
  progress = 0;
  /** First progress seen in the current run, in the owner's time. */
  progressBaseline: {progress: number; atMs: number} | undefined;
  waitingSinceMs = 0;
  /** Workers that still hold a record of an earlier run. */
  readonly workersWithRecord = new Set<string>();
  /** Tasks that are being evicted to make room for this one. */
  readonly victims = new Set<string>();

  constructor(
    readonly shardJob: ShardJob,
    readonly index: number,
    initial: TaskLifeState = taskLifeCycle.initial,
  ) {
    this.taskId = taskIdOf(shardJob.job.id, index);
    this.state = initial;
  }

  /** What is stored of the task. */
  get record(): TaskRecord {
    return this.shardJob.record.tasks[this.index]!;
  }

  /** Tells whether all that is known of the task is stored. */
  get isStored(): boolean {
    const {job, storedVersion} = this.shardJob;
    return job.isAttached || storedVersion >= this.requiredVersion;
  }

  /** Tells whether the event has an effect in this state. */
  canApply(event: TaskLifeEvent): boolean {
    return taskLifeCycle.next(this.state, event) !== undefined;
  }

  /** Takes the transition; false if the event has no effect in this state. */
  apply(event: TaskLifeEvent): boolean {
    const next = taskLifeCycle.next(this.state, event);
    if (next === undefined) return false;
    this.state = next;
    return true;
  }
}
