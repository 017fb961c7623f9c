import {Urgency} from '../contracts/urgency.js';
import {TaskFailure} from '../jobs/job_record.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {WorkerHealth} from '../placement/worker_health.js';
import {
  WorkerReport,
  WorkerTask,
  WorkerTaskState,
} from '../workers/worker_client.js';
import {ShardTask} from './shard_task.js';
import {QueuedOperation, ShardWorker} from './shard_worker.js';
import {tryCommit} from './try_commit.js';
import {TaskRegistry} from './task_registry.js';

/**
 * Time in ms from a start within which a restart of the worker counts as a
 * failure of the task; the restart is noticed with the next command, at the
 * latest when leases are renewed, after 4 s.
 */
const CRASH_AFTER_START_MS = 5000;

const CRASH_REASON = 'worker crashed';

/** Options of {@link WorkerReportHandler}. */
export interface WorkerReportHandlerOptions {
  /** Shard (rack) of the workers. */
  shard: string;
  registry: TaskRegistry;
  placement: PlacementPolicy;
  /** Records task outcomes per worker. @default none */
  health?: WorkerHealth;
  /** Queues an operation for a worker. */
  enqueue: (worker: ShardWorker, operation: QueuedOperation) => void;
}

/** Applies the reports of workers to the tasks of a shard. */
export class WorkerReportHandler {
  /**
   * IDs of tasks by the worker on which an orphan run of them was reported,
   * which is a run that this owner did not place there.
   */
  private readonly orphanRunsByWorker = new Map<string, Set<string>>();

  constructor(private readonly options: WorkerReportHandlerOptions) {}

  /** Applies a report of the worker's current incarnation. */
  apply(worker: ShardWorker, report: WorkerReport): void {
    this.addToPlacement(worker);
    worker.isOvercommitted = false;
    const tasksById = new Map(report.tasks.map((task) => [task.taskId, task]));
    this.releaseEndedOrphanRuns(worker, tasksById);
    this.updateEndedTasks(worker, report.tasks);
    for (const task of report.tasks) this.applyTask(worker, task);
    for (const task of this.options.registry.tasksOn(worker.name)) {
      if (!tasksById.has(task.taskId)) this.applyAbsent(task, report.clockMs);
    }
    this.deleteEndedRecords(worker, report.tasks);
  }

  /** Whether orphan runs were reported by the worker and have not ended. */
  hasOrphanRuns(worker: ShardWorker): boolean {
    return (this.orphanRunsByWorker.get(worker.name)?.size ?? 0) > 0;
  }

  /** Handles a restart of the worker, which stopped its tasks (rule 6 b). */
  onWorkerRestarted(worker: ShardWorker, incarnation: string): void {
    this.failRecentStarts(worker);
    this.markAllStopped(worker);
    for (const taskId of worker.endedTaskIds) {
      this.options.registry.tasks
        .get(taskId)
        ?.workersWithRecord.delete(worker.name);
    }
    worker.resetForIncarnation(incarnation);
  }

  /**
   * Counts the crash of a worker as a failure of the tasks that it had just
   * started; one that crashes each worker would else be repeated forever.
   */
  private failRecentStarts(worker: ShardWorker): void {
    const {registry} = this.options;
    for (const task of registry.tasksOn(worker.name)) {
      const {isSent, sentMs} = task.assignment!;
      const isRecent = registry.nowMs - sentMs <= CRASH_AFTER_START_MS;
      if (!isSent || !isRecent) continue;
      registry.fail(task, {worker: worker.name, reason: CRASH_REASON});
    }
  }

  /** Handles the removal of the VM, which has stopped its tasks (rule 6 c). */
  onWorkerRemoved(worker: ShardWorker): void {
    this.markAllStopped(worker);
    if (worker.capacity) this.options.placement.removeWorker(worker.name);
  }

  /** Records that no task runs on the worker any more. */
  markAllStopped(worker: ShardWorker): void {
    worker.operations.length = 0;
    this.releaseEndedOrphanRuns(worker, new Map());
    for (const task of this.options.registry.tasksOn(worker.name)) {
      if (task.assignment!.isSent) this.options.registry.markStopped(task);
      else this.options.registry.markNotStarted(task);
    }
  }

  /** Withdraws tasks whose start command was not sent yet. */
  cancelUnsentStarts(worker: ShardWorker): void {
    for (const task of this.options.registry.tasksOn(worker.name)) {
      if (!task.assignment!.isSent) this.options.registry.markNotStarted(task);
    }
  }

  private addToPlacement(worker: ShardWorker): void {
    const {placement, shard} = this.options;
    const {capacity, registeredCapacity} = worker;
    const isKnown =
      registeredCapacity !== undefined &&
      registeredCapacity.processors === capacity!.processors &&
      registeredCapacity.memoryMegabytes === capacity!.memoryMegabytes &&
      registeredCapacity.accelerators === capacity!.accelerators;
    if (isKnown) return;
    worker.registeredCapacity = capacity;
    placement.addWorker({
      worker: worker.name,
      rack: shard,
      capacity: capacity!,
    });
  }

  private applyTask(worker: ShardWorker, reported: WorkerTask): void {
    const task = this.options.registry.tasks.get(reported.taskId);
    if (task?.assignment?.worker === worker.name && task.assignment.isSent) {
      this.applyAssigned(worker, task, reported);
    } else if (task?.state === 'inherited') {
      this.applyInherited(worker, task, reported);
    } else {
      this.applyUnexpected(worker, task, reported);
    }
  }

  private applyAssigned(
    worker: ShardWorker,
    task: ShardTask,
    reported: WorkerTask,
  ): void {
    const {registry} = this.options;
    task.progress = reported.progress;
    task.progressBaseline ??= {
      progress: reported.progress,
      atMs: registry.nowMs,
    };
    task.mayHaveRun = true;
    if (reported.state !== WorkerTaskState.FINISHED) {
      registry.recordCheckpoint(task, reported.checkpoint);
    }
    switch (reported.state) {
      case WorkerTaskState.RUNNING:
        registry.advance(task, 'confirmed');
        break;
      case WorkerTaskState.FINISHED:
        this.recordOutcome(worker, task, false);
        registry.finish(task);
        break;
      case WorkerTaskState.FAILED:
        this.recordOutcome(worker, task, true);
        registry.fail(task, failureOf(worker, reported));
        break;
      case WorkerTaskState.STOPPED:
        registry.markStopped(task);
        break;
    }
  }

  private recordOutcome(
    {name: worker}: ShardWorker,
    {shardJob: {job}}: ShardTask,
    hasFailed: boolean,
  ): void {
    const {health} = this.options;
    health?.record({worker, kind: job.kind, job: job.id, hasFailed});
  }

  private applyInherited(
    worker: ShardWorker,
    task: ShardTask,
    reported: WorkerTask,
  ): void {
    const {registry} = this.options;
    if (reported.state === WorkerTaskState.FINISHED) {
      registry.finish(task);
      return;
    }
    registry.recordCheckpoint(task, reported.checkpoint);
    if (reported.state === WorkerTaskState.RUNNING) {
      const {incarnation} = worker;
      const assignment = {worker: worker.name, incarnation};
      if (!registry.commit(task, assignment)) worker.isOvercommitted = true;
      task.assignment!.isSent = true;
      task.progress = reported.progress;
      registry.advance(task, 'foundRunning');
    }
    if (reported.state === WorkerTaskState.FAILED) {
      const isKnown = task.record.failures?.some(
        (failure) => failure.worker === worker.name,
      );
      if (!isKnown) registry.fail(task, failureOf(worker, reported));
    }
  }

  /** Applies the report of a task that is unknown or expected elsewhere. */
  private applyUnexpected(
    worker: ShardWorker,
    task: ShardTask | undefined,
    reported: WorkerTask,
  ): void {
    if (reported.state === WorkerTaskState.RUNNING) {
      this.stopOrphanRun(worker, reported);
      return;
    }
    if (!task) return;
    if (reported.state === WorkerTaskState.FINISHED) {
      this.options.registry.finishElsewhere(task);
    } else if (task.state === 'waiting') {
      this.options.registry.recordCheckpoint(task, reported.checkpoint);
    }
  }

  private applyAbsent(task: ShardTask, clockMs: number): void {
    const assignment = task.assignment!;
    // Until that time, a delayed start command can still take effect.
    if (!assignment.isSent || clockMs <= assignment.startBeforeMs) return;
    if (task.state === 'starting') this.options.registry.markNotStarted(task);
    else this.options.registry.markStopped(task);
  }

  /**
   * Queues a stop command for an orphan run, and commits its resources in the
   * placement until the run has ended.
   */
  private stopOrphanRun(worker: ShardWorker, reported: WorkerTask): void {
    const orphanRuns = this.orphanRunsByWorker.get(worker.name) ?? new Set();
    this.orphanRunsByWorker.set(worker.name, orphanRuns);
    if (!orphanRuns.has(reported.taskId)) {
      orphanRuns.add(reported.taskId);
      this.options.registry.addOrphanRun(reported.taskId, worker.name);
      const commitment = {
        taskId: orphanRunId(worker, reported.taskId),
        customer: '',
        kind: reported.kind,
        urgency: Urgency.URGENT,
        resources: reported.resources,
        runTimeMs: 0,
        value: 0,
        worker: worker.name,
        lostWorkMs: 0,
      };
      if (!tryCommit(this.options.placement, commitment)) {
        worker.isOvercommitted = true;
      }
    }
    const isQueued = worker.operations.some(
      (operation) =>
        operation.name === 'stop' && operation.taskId === reported.taskId,
    );
    if (isQueued) return;
    this.options.enqueue(worker, {name: 'stop', taskId: reported.taskId});
  }

  private releaseEndedOrphanRuns(
    worker: ShardWorker,
    tasksById: ReadonlyMap<string, WorkerTask>,
  ): void {
    const orphanRuns = this.orphanRunsByWorker.get(worker.name);
    for (const taskId of orphanRuns ?? []) {
      if (tasksById.get(taskId)?.state === WorkerTaskState.RUNNING) continue;
      orphanRuns!.delete(taskId);
      this.options.placement.release(orphanRunId(worker, taskId));
      this.options.registry.removeOrphanRun(taskId, worker.name);
    }
  }

  private updateEndedTasks(
    worker: ShardWorker,
    tasks: readonly WorkerTask[],
  ): void {
    const {registry} = this.options;
    for (const taskId of worker.endedTaskIds) {
      registry.tasks.get(taskId)?.workersWithRecord.delete(worker.name);
    }
    worker.endedTaskIds = new Set(
      tasks
        .filter((reported) => reported.state !== WorkerTaskState.RUNNING)
        .map((reported) => reported.taskId),
    );
    for (const taskId of worker.endedTaskIds) {
      registry.tasks.get(taskId)?.workersWithRecord.add(worker.name);
    }
  }

  /**
   * Queues a command to delete records of ended tasks on the worker. A record
   * is kept while its content is not stored, or while it prevents a delayed
   * start command from running the task again.
   */
  private deleteEndedRecords(
    worker: ShardWorker,
    tasks: readonly WorkerTask[],
  ): void {
    const taskIds = tasks
      .filter((reported) => reported.state !== WorkerTaskState.RUNNING)
      .filter((reported) => !worker.startDeadlines.has(reported.taskId))
      .filter((reported) => {
        const task = this.options.registry.tasks.get(reported.taskId);
        if (!task || task.state === 'ended') return true;
        const isResult = reported.state === WorkerTaskState.FINISHED;
        return !isResult && task.isStored && task.state !== 'inherited';
      })
      .map((reported) => reported.taskId);
    const isQueued = worker.operations.some(({name}) => name === 'forget');
    if (taskIds.length === 0 || isQueued) return;
    this.options.enqueue(worker, {name: 'forget', taskIds});
  }
}

/** Returns the ID under which the resources of an orphan run are committed. */
function orphanRunId(worker: ShardWorker, taskId: string): string {
  return `stray ${worker.name} ${taskId}`;
}

function failureOf(worker: ShardWorker, reported: WorkerTask): TaskFailure {
  return {worker: worker.name, reason: reported.failure ?? 'unknown'};
}
