import {Urgency} from '../contracts/urgency.js';
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
import {TaskBook} from './task_book.js';

/** Options of {@link WorkerReports}. */
export interface WorkerReportsOptions {
  /** Shard (rack) of the workers. */
  shard: string;
  book: TaskBook;
  placement: PlacementPolicy;
  /** @default none */
  health?: WorkerHealth;
  enqueue: (worker: ShardWorker, operation: QueuedOperation) => void;
}

/** Applies what workers report to the tasks of a shard. */
export class WorkerReports {
  /** Running tasks by worker that this owner did not place there. */
  private readonly strays = new Map<string, Set<string>>();

  constructor(private readonly options: WorkerReportsOptions) {}

  /** Takes a report of the current incarnation. */
  apply(worker: ShardWorker, report: WorkerReport): void {
    this.addToPlacement(worker);
    worker.isOverfull = false;
    const reported = new Map(report.tasks.map((task) => [task.taskId, task]));
    this.dropStrays(worker, reported);
    this.noteEnded(worker, report.tasks);
    for (const seen of report.tasks) this.applyTask(worker, seen);
    for (const task of this.options.book.tasksOn(worker.worker)) {
      if (!reported.has(task.taskId)) this.applyAbsent(task, report.clockMs);
    }
    this.forget(worker, report.tasks);
  }

  /** Tells whether tasks run on the worker that must stop there. */
  hasStrays(worker: ShardWorker): boolean {
    return (this.strays.get(worker.worker)?.size ?? 0) > 0;
  }

  /** The worker restarted: what it ran has stopped (rule 6 b). */
  restarted(worker: ShardWorker, incarnation: string): void {
    this.allStopped(worker);
    for (const taskId of worker.ended) {
      this.options.book.tasks.get(taskId)?.recordedAt.delete(worker.worker);
    }
    worker.restart(incarnation);
  }

  /** The worker's VM is gone (rule 6 c). */
  gone(worker: ShardWorker): void {
    this.allStopped(worker);
    if (worker.capacity) this.options.placement.removeWorker(worker.worker);
  }

  /** Nothing that was sent to the worker runs there any more. */
  allStopped(worker: ShardWorker): void {
    worker.operations.length = 0;
    this.dropStrays(worker, new Map());
    for (const task of this.options.book.tasksOn(worker.worker)) {
      if (task.place!.isSent) this.options.book.stopped(task);
      else this.options.book.notStarted(task);
    }
  }

  /** Takes back starts that are not sent yet. */
  withdrawStarts(worker: ShardWorker): void {
    for (const task of this.options.book.tasksOn(worker.worker)) {
      if (!task.place!.isSent) this.options.book.notStarted(task);
    }
  }

  private addToPlacement(worker: ShardWorker): void {
    const {placement, shard} = this.options;
    const {capacity, placedCapacity} = worker;
    const isKnown =
      placedCapacity !== undefined &&
      placedCapacity.processors === capacity!.processors &&
      placedCapacity.memoryMegabytes === capacity!.memoryMegabytes &&
      placedCapacity.accelerators === capacity!.accelerators;
    if (isKnown) return;
    worker.placedCapacity = capacity;
    placement.addWorker({
      worker: worker.worker,
      rack: shard,
      capacity: capacity!,
    });
  }

  private applyTask(worker: ShardWorker, seen: WorkerTask): void {
    const task = this.options.book.tasks.get(seen.taskId);
    if (task?.place?.worker === worker.worker && task.place.isSent) {
      this.applyOwn(worker, task, seen);
    } else if (task?.state === 'inherited') {
      this.applyInherited(worker, task, seen);
    } else {
      this.applyOther(worker, task, seen);
    }
  }

  private applyOwn(
    worker: ShardWorker,
    task: ShardTask,
    seen: WorkerTask,
  ): void {
    const {book} = this.options;
    task.progress = seen.progress;
    task.observed ??= {progress: seen.progress, atMs: book.nowMs};
    task.mayHaveRun = true;
    if (seen.state !== WorkerTaskState.FINISHED) {
      book.noteCheckpoint(task, seen.checkpoint);
    }
    switch (seen.state) {
      case WorkerTaskState.RUNNING:
        book.advance(task, 'confirmed');
        break;
      case WorkerTaskState.FINISHED:
        this.judge(worker, task, false);
        book.finished(task);
        break;
      case WorkerTaskState.FAILED:
        this.judge(worker, task, true);
        book.failed(task, {worker: worker.worker, task: seen});
        break;
      case WorkerTaskState.STOPPED:
        book.stopped(task);
        break;
    }
  }

  private judge(
    {worker}: ShardWorker,
    {owner: {job}}: ShardTask,
    hasFailed: boolean,
  ): void {
    const {health} = this.options;
    health?.record({worker, kind: job.kind, job: job.id, hasFailed});
  }

  private applyInherited(
    worker: ShardWorker,
    task: ShardTask,
    seen: WorkerTask,
  ): void {
    const {book} = this.options;
    if (seen.state === WorkerTaskState.FINISHED) {
      book.finished(task);
      return;
    }
    book.noteCheckpoint(task, seen.checkpoint);
    if (seen.state === WorkerTaskState.RUNNING) {
      const {incarnation} = worker;
      const place = {worker: worker.worker, incarnation};
      if (!book.commit(task, place)) worker.isOverfull = true;
      task.place!.isSent = true;
      task.progress = seen.progress;
      book.advance(task, 'foundRunning');
    }
    if (seen.state === WorkerTaskState.FAILED) {
      const isKnown = task.record.failures?.some(
        (failure) => failure.worker === worker.worker,
      );
      if (!isKnown) book.failed(task, {worker: worker.worker, task: seen});
    }
  }

  /** A task that is not known, or that is known to be somewhere else. */
  private applyOther(
    worker: ShardWorker,
    task: ShardTask | undefined,
    seen: WorkerTask,
  ): void {
    if (seen.state === WorkerTaskState.RUNNING) {
      this.stopStray(worker, seen);
      return;
    }
    if (!task) return;
    if (seen.state === WorkerTaskState.FINISHED) {
      this.options.book.finishedElsewhere(task);
    } else if (task.state === 'waiting') {
      this.options.book.noteCheckpoint(task, seen.checkpoint);
    }
  }

  private applyAbsent(task: ShardTask, clockMs: number): void {
    const place = task.place!;
    // Until then a start that is delayed on its way can still take effect.
    if (!place.isSent || clockMs <= place.startBeforeMs) return;
    if (task.state === 'starting') this.options.book.notStarted(task);
    else this.options.book.stopped(task);
  }

  private stopStray(worker: ShardWorker, seen: WorkerTask): void {
    const strays = this.strays.get(worker.worker) ?? new Set();
    this.strays.set(worker.worker, strays);
    if (!strays.has(seen.taskId)) {
      strays.add(seen.taskId);
      this.options.book.strayFound(seen.taskId, worker.worker);
      const commitment = {
        taskId: strayId(worker, seen.taskId),
        customer: '',
        kind: seen.kind,
        urgency: Urgency.URGENT,
        resources: seen.resources,
        runTimeMs: 0,
        value: 0,
        worker: worker.worker,
        lostWorkMs: 0,
      };
      if (!tryCommit(this.options.placement, commitment)) {
        worker.isOverfull = true;
      }
    }
    const isQueued = worker.operations.some(
      (operation) =>
        operation.name === 'stop' && operation.taskId === seen.taskId,
    );
    if (isQueued) return;
    this.options.enqueue(worker, {name: 'stop', taskId: seen.taskId});
  }

  private dropStrays(
    worker: ShardWorker,
    reported: ReadonlyMap<string, WorkerTask>,
  ): void {
    const strays = this.strays.get(worker.worker);
    for (const taskId of strays ?? []) {
      if (reported.get(taskId)?.state === WorkerTaskState.RUNNING) continue;
      strays!.delete(taskId);
      this.options.placement.release(strayId(worker, taskId));
      this.options.book.strayEnded(taskId, worker.worker);
    }
  }

  private noteEnded(worker: ShardWorker, tasks: readonly WorkerTask[]): void {
    const {book} = this.options;
    for (const taskId of worker.ended) {
      book.tasks.get(taskId)?.recordedAt.delete(worker.worker);
    }
    worker.ended = new Set(
      tasks
        .filter((seen) => seen.state !== WorkerTaskState.RUNNING)
        .map((seen) => seen.taskId),
    );
    for (const taskId of worker.ended) {
      book.tasks.get(taskId)?.recordedAt.add(worker.worker);
    }
  }

  /** Drops records whose content is stored and that block no late start. */
  private forget(worker: ShardWorker, tasks: readonly WorkerTask[]): void {
    const taskIds = tasks
      .filter((seen) => seen.state !== WorkerTaskState.RUNNING)
      .filter((seen) => !worker.startBeforeMs.has(seen.taskId))
      .filter((seen) => {
        const task = this.options.book.tasks.get(seen.taskId);
        if (!task || task.state === 'ended') return true;
        const isResult = seen.state === WorkerTaskState.FINISHED;
        return !isResult && task.isStored && task.state !== 'inherited';
      })
      .map((seen) => seen.taskId);
    const isQueued = worker.operations.some(({name}) => name === 'forget');
    if (taskIds.length === 0 || isQueued) return;
    this.options.enqueue(worker, {name: 'forget', taskIds});
  }
}

function strayId(worker: ShardWorker, taskId: string): string {
  return `stray ${worker.worker} ${taskId}`;
}
