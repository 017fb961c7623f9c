import {Urgency} from '../contracts/urgency.js';
import {Job} from '../jobs/job.js';
import {
  JobRecord,
  TaskFailure,
  taskIdOf,
  TaskResult,
} from '../jobs/job_record.js';
import {TaskLifeEvent} from '../jobs/task_life_cycle.js';
import {WaitingQueue} from '../jobs/waiting_queue.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {PlacementRequest} from '../placement/placement_request.js';
import {CustomerUsage} from './customer_limits.js';
import {ShardJob, ShardTask} from './shard_task.js';
import {tryCommit} from './try_commit.js';

/** Options of {@link TaskRegistry}. */
export interface TaskRegistryOptions {
  placement: PlacementPolicy;
  queue: WaitingQueue;
  /** Queues a job's changed record for storage; returns its new version. */
  store: (job: ShardJob) => number;
  /** Called once all tasks of a job have ended and their results are stored. */
  onJobEnded: (job: ShardJob) => void;
  /** Called for a running task that has to be stopped on its worker. */
  onStopNeeded: (task: ShardTask) => void;
  /** Wall-clock time in ms; only used for time stamps in records. */
  wallMs: () => number;
}

/**
 * Registry of the jobs and tasks of a shard. Applies the events of the task
 * life cycle, commits resources of workers, and queues tasks for placement.
 */
export class TaskRegistry {
  readonly jobs = new Map<string, ShardJob>();
  readonly tasks = new Map<string, ShardTask>();
  readonly usage = new CustomerUsage();
  private isSettled = false;
  private readonly tasksByWorker = new Map<string, Set<ShardTask>>();
  nowMs = 0;

  constructor(private readonly options: TaskRegistryOptions) {}

  /** Adds a new job; its tasks are not queued until the job is stored. */
  add(job: Job): ShardJob {
    const record: JobRecord = {
      job,
      acceptedWallMs: this.options.wallMs(),
      tasks: Array.from({length: job.count}, () => ({})),
    };
    const added = this.register(record);
    if (job.isAttached) this.markStored(added, 0);
    else this.persist(added);
    return added;
  }

  /** Adds a job loaded from storage, whose tasks may run on any worker. */
  addInherited(record: JobRecord): void {
    const job = this.register(record, true);
    job.storedVersion = job.version = 1;
  }

  /** Removes a job and its tasks. */
  remove(jobId: string): void {
    const job = this.jobs.get(jobId);
    this.jobs.delete(jobId);
    for (const task of job?.tasks ?? []) {
      this.options.queue.remove(task.taskId);
      this.tasks.delete(task.taskId);
    }
  }

  /** Records that `version` of the job's record is stored. */
  markStored(job: ShardJob, version: number): void {
    job.storedVersion = Math.max(job.storedVersion, version);
    for (const task of job.tasks) {
      if (task.state === 'submitted') this.advance(task, 'stored');
      else if (task.state === 'recording') this.finishRecording(task);
      else if (task.state === 'waiting') this.enqueue(task);
    }
  }

  /** Cancels all tasks of a job that have not ended. */
  cancel(job: ShardJob): void {
    job.isCancelRequested = true;
    for (const task of job.tasks) this.applyCancellation(task);
  }

  /**
   * Called once all workers have been read back. Inherited tasks that were not
   * found on a worker run nowhere and are queued.
   */
  settle(): void {
    this.isSettled = true;
    for (const task of this.tasks.values()) {
      if (task.state === 'inherited') this.advance(task, 'settled');
      else if (task.state === 'waiting') this.enterWaiting(task);
    }
  }

  /**
   * Records an orphan run: a run of a task on a worker on which this owner did
   * not place it. The task is not queued until the run has ended.
   */
  addOrphanRun(taskId: string, worker: string): void {
    const task = this.tasks.get(taskId);
    if (!task) return;
    task.orphanRunWorkers.add(worker);
    this.options.queue.remove(taskId);
  }

  /**
   * Records that an orphan run has certainly ended. A waiting task is queued
   * again once no orphan run of it is left.
   */
  removeOrphanRun(taskId: string, worker: string): void {
    const task = this.tasks.get(taskId);
    if (!task?.orphanRunWorkers.delete(worker)) return;
    if (task.state === 'waiting') this.enterWaiting(task);
  }

  /** Returns the tasks committed on a worker. */
  tasksOn(worker: string): Iterable<ShardTask> {
    return [...(this.tasksByWorker.get(worker) ?? [])];
  }

  /** Returns the number of tasks committed on a worker. */
  countOn(worker: string): number {
    return this.tasksByWorker.get(worker)?.size ?? 0;
  }

  /** Applies a life cycle event; returns false if it has no effect. */
  advance(task: ShardTask, event: TaskLifeEvent): boolean {
    if (!task.apply(event)) return false;
    if (task.state === 'waiting') this.enterWaiting(task);
    if (task.state === 'recording') this.finishRecording(task);
    if (task.state !== 'waiting') this.options.queue.remove(task.taskId);
    const isUnwanted = task.shardJob.isCancelRequested || task.isKnownFinished;
    if (task.state === 'running' && isUnwanted) this.applyCancellation(task);
    return true;
  }

  /**
   * Commits the resources of a task on a worker.
   *
   * @returns False if they exceed the worker's free capacity; the task is then
   *     assigned to the worker nevertheless.
   */
  commit(
    task: ShardTask,
    assignment: {worker: string; incarnation: string},
  ): boolean {
    const fits = tryCommit(this.options.placement, {
      ...this.placementRequestOf(task),
      worker: assignment.worker,
      lostWorkMs: 0,
    });
    task.assignment = {
      ...assignment,
      isSent: false,
      startBeforeMs: 0,
      sentMs: 0,
    };
    const {customer, resources} = task.shardJob.job;
    this.usage.adjust(customer, resources, 1);
    const tasks = this.tasksByWorker.get(assignment.worker) ?? new Set();
    this.tasksByWorker.set(assignment.worker, tasks.add(task));
    return fits;
  }

  /** Releases the resources of a task that certainly no longer runs. */
  release(task: ShardTask): void {
    if (!task.assignment) return;
    this.options.placement.release(task.taskId);
    const {customer, resources} = task.shardJob.job;
    this.usage.adjust(customer, resources, -1);
    this.tasksByWorker.get(task.assignment.worker)?.delete(task);
    task.assignment = undefined;
    task.progressBaseline = undefined;
  }

  /** Records that the start of a task certainly has no effect. */
  markNotStarted(task: ShardTask): void {
    this.release(task);
    this.advance(task, 'notStarted');
  }

  /** Records that a task has stopped; it resumes from its latest checkpoint. */
  markStopped(task: ShardTask): void {
    task.mayHaveRun = true;
    this.release(task);
    this.advance(task, 'stopped');
  }

  /** Records a checkpoint that a worker reports, unless it is known already. */
  recordCheckpoint(task: ShardTask, checkpoint: string | undefined): void {
    const {record} = task;
    const isKnown =
      checkpoint === undefined ||
      checkpoint === record.checkpoint ||
      record.earlierCheckpoints?.includes(checkpoint);
    if (isKnown || record.result) return;
    if (record.checkpoint !== undefined) {
      record.earlierCheckpoints ??= [];
      record.earlierCheckpoints.push(record.checkpoint);
    }
    record.checkpoint = checkpoint;
    this.persist(task.shardJob, task);
  }

  /** Records that a worker has finished a task. */
  finish(task: ShardTask): void {
    task.mayHaveRun = true;
    if (!task.canApply('finished')) return;
    this.release(task);
    this.endWithResult(task, 'finished', TaskResult.FINISHED);
  }

  /**
   * Records that a task was finished by a run that this owner no longer tracks,
   * for example on a worker on which its lease had expired. A second run that
   * has begun is stopped.
   */
  finishElsewhere(task: ShardTask): void {
    task.isKnownFinished = true;
    if (task.assignment && !task.assignment.isSent) this.markNotStarted(task);
    else if (task.state === 'waiting') this.finish(task);
    else this.applyCancellation(task);
  }

  /** Records a failed run of a task and releases the resources of the run. */
  fail(task: ShardTask, failure: TaskFailure): void {
    task.mayHaveRun = true;
    const {record} = task;
    record.failures ??= [];
    record.failures.push(failure);
    this.persist(task.shardJob, task);
    this.release(task);
    this.advance(task, 'stopped');
  }

  /** Ends a task that failed on too many workers; its job ends as failed. */
  abandon(task: ShardTask): void {
    this.endWithResult(task, 'gaveUp', TaskResult.FAILED);
  }

  /** Returns the placement request of a task. */
  placementRequestOf(task: ShardTask): PlacementRequest {
    return this.placementRequestOfJob(task.shardJob.job, task.index);
  }

  /** Returns the placement request of one task of a job. */
  placementRequestOfJob(job: Job, index: number): PlacementRequest {
    return {
      taskId: taskIdOf(job.id, index),
      customer: job.customer,
      kind: job.kind,
      urgency: job.urgency as Urgency,
      resources: job.resources,
      spreadGroup: job.count > 1 ? job.id : undefined,
      runTimeMs: job.runTimeMs,
      value: job.value,
    };
  }

  private register(record: JobRecord, isInherited = false): ShardJob {
    const job: ShardJob = {
      job: record.job,
      record,
      tasks: [],
      version: 0,
      storedVersion: 0,
      isCancelRequested: false,
    };
    for (const index of record.tasks.keys()) {
      const hasEnded = record.tasks[index]!.result !== undefined;
      const inherited = hasEnded ? 'ended' : 'inherited';
      const task = new ShardTask(
        job,
        index,
        isInherited ? inherited : undefined,
      );
      task.mayHaveRun = task.isInherited = isInherited;
      job.tasks.push(task);
      this.tasks.set(task.taskId, task);
    }
    this.jobs.set(record.job.id, job);
    return job;
  }

  private persist(job: ShardJob, task?: ShardTask): void {
    if (!job.job.isAttached) job.version = this.options.store(job);
    for (const one of task ? [task] : job.tasks) {
      one.requiredVersion = job.version;
    }
  }

  private enterWaiting(task: ShardTask): void {
    task.waitingSinceMs = this.nowMs;
    if (task.isKnownFinished) this.finish(task);
    else if (!this.isCertainlyNotRunning(task)) return;
    else if (task.shardJob.isCancelRequested) this.applyCancellation(task);
    else this.enqueue(task);
  }

  /**
   * Whether a task without an assignment certainly runs on no worker. Until all
   * workers are read back, an inherited task may run on any of them (rule 5).
   */
  private isCertainlyNotRunning(task: ShardTask): boolean {
    return (
      (!task.isInherited || this.isSettled) && task.orphanRunWorkers.size === 0
    );
  }

  /** Queues a task for placement, but not before its checkpoint is stored. */
  private enqueue(task: ShardTask): void {
    if (!task.isStored || !this.isCertainlyNotRunning(task)) return;
    if (this.options.queue.has(task.taskId)) return;
    const {job} = task.shardJob;
    this.options.queue.add({
      taskId: task.taskId,
      customer: job.customer,
      urgency: job.urgency as Urgency,
      sinceMs: task.waitingSinceMs,
      cost: (job.resources.processors * (job.runTimeMs || 60_000)) / 1000,
    });
  }

  private applyCancellation(task: ShardTask): void {
    if (task.state === 'waiting') {
      if (!this.isCertainlyNotRunning(task)) return;
      const result = task.mayHaveRun
        ? TaskResult.CANCELLED
        : TaskResult.CANCELLED_BEFORE_START;
      this.endWithResult(task, 'cancelled', result);
      return;
    }
    if (task.state === 'submitted') return;
    if (this.advance(task, 'cancelled')) this.options.onStopNeeded(task);
  }

  private endWithResult(
    task: ShardTask,
    event: TaskLifeEvent,
    result: TaskResult,
  ): void {
    task.record.result = result;
    const {record} = task.shardJob;
    if (record.tasks.every((one) => one.result !== undefined)) {
      record.endedWallMs = this.options.wallMs();
    }
    this.persist(task.shardJob, task);
    this.advance(task, event);
  }

  private finishRecording(task: ShardTask): void {
    if (!task.isStored) return;
    task.apply('written');
    const {shardJob} = task;
    if (shardJob.tasks.every((one) => one.state === 'ended')) {
      this.options.onJobEnded(shardJob);
    }
  }
}
