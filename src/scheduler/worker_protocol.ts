import {PlacementPolicy} from '../placement/placement_policy.js';
import {HealthState, WorkerHealth} from '../placement/worker_health.js';
import {RandomSource} from '../random/random_source.js';
import {Resources} from '../workers/resources.js';
import {WorkerReport} from '../workers/worker_client.js';
import {ShardCommand, WorkerOperation} from './shard_command.js';
import {ShardTimings} from './shard_timings.js';
import {QueuedOperation, ShardWorker} from './shard_worker.js';
import {TaskRegistry} from './task_registry.js';
import {timeUntilNextEnd} from './time_until_next_end.js';
import {WorkerReportHandler} from './worker_report_handler.js';

/** Options of {@link WorkerProtocol}. */
export interface WorkerProtocolOptions {
  shard: string;
  epoch: number;
  timings: ShardTimings;
  registry: TaskRegistry;
  placement: PlacementPolicy;
  random: RandomSource;
  /** Health of the workers by task outcomes. @default all are healthy */
  health?: WorkerHealth;
  /** Receives the commands to execute. */
  emit: (command: ShardCommand) => void;
  /** Called once another process is found to own the shard. */
  onSuperseded: (reason: string) => void;
}

/** A request to confirm ownership, with the state when it was made. */
interface Confirmation {
  requestId: number;
  /** Unconfirmed workers, with the incarnation read back before the request. */
  incarnations: Map<ShardWorker, string>;
  /** Workers whose leases had expired, with the clock reading at that time. */
  expired: Map<ShardWorker, unknown>;
}

/**
 * Protocol with the workers of one shard: read-back after a takeover, lease
 * renewal and expiry, queued commands with at most one per worker in flight,
 * and confirmation of ownership.
 */
export class WorkerProtocol {
  readonly workers = new Map<string, ShardWorker>();
  /**
   * Names of workers under probation. They get one batch task at a time until
   * they are healthy again.
   */
  readonly probing = new Set<string>();
  private readonly pending = new Map<number, ShardWorker>();
  private readonly reportHandler: WorkerReportHandler;
  private confirmation: Confirmation | undefined;
  private confirmRetryAtMs = 0;
  private nextId = 1;
  private hasWorkerList = false;
  private hasSettled = false;

  constructor(private readonly options: WorkerProtocolOptions) {
    const {shard, registry, placement} = options;
    this.reportHandler = new WorkerReportHandler({
      shard,
      registry,
      placement,
      health: options.health,
      enqueue: (worker, operation) => worker.operations.push(operation),
    });
  }

  /** Whether every worker was read back under this epoch or was removed. */
  get isSettled(): boolean {
    return this.hasSettled;
  }

  /** Returns the total capacity of all workers that have reported. */
  capacity(): Resources {
    const sum = {processors: 0, memoryMegabytes: 0, accelerators: 0};
    for (const {capacity} of this.workers.values()) {
      sum.processors += capacity?.processors ?? 0;
      sum.memoryMegabytes += capacity?.memoryMegabytes ?? 0;
      sum.accelerators += capacity?.accelerators ?? 0;
    }
    return sum;
  }

  /** Applies a VM list that was read after the shard was acquired. */
  updateWorkers(
    workers: ReadonlyArray<{worker: string; isLeaving: boolean}>,
    nowMs: number,
  ): void {
    const names = new Set(workers.map(({worker}) => worker));
    for (const worker of [...this.workers.values()]) {
      if (!names.has(worker.name)) this.remove(worker);
    }
    for (const {worker: name, isLeaving} of workers) {
      const worker =
        this.workers.get(name) ?? new ShardWorker(name, this.options.timings);
      worker.isLeaving = isLeaving;
      this.workers.set(name, worker);
    }
    this.hasWorkerList = true;
    this.tick(nowMs);
  }

  /** Sends all commands and confirmations that are due. */
  tick(nowMs: number): void {
    for (const worker of this.workers.values()) {
      this.updateAccepting(worker, nowMs);
      this.sendNext(worker, nowMs);
    }
    this.settleIfAllReadBack();
    this.confirmOwnershipIfNeeded(nowMs);
  }

  /** Queues an operation, and sends it if no command is in flight. */
  enqueue(name: string, operation: QueuedOperation, nowMs: number): void {
    const worker = this.workers.get(name);
    if (!worker) return;
    worker.operations.push(operation);
    this.sendNext(worker, nowMs);
  }

  /** Handles the response to a command; ignored unless it is in flight. */
  onAnswer(commandId: number, report: WorkerReport, nowMs: number): void {
    const worker = this.pending.get(commandId);
    if (!worker || worker.inFlight?.commandId !== commandId) return;
    this.pending.delete(commandId);
    const {name, taskId} = worker.inFlight;
    worker.inFlight = undefined;
    worker.isFailing = false;
    if (report.refusal === 'epoch') {
      this.options.onSuperseded(`worker ${worker.name} has seen a newer epoch`);
      return;
    }
    if (report.incarnation !== worker.incarnation) {
      this.reportHandler.onWorkerRestarted(worker, report.incarnation);
      worker.nextContactMs = nowMs;
    }
    if (name === 'readBack') worker.isReadBack = worker.wasReadBack = true;
    if (worker.isReadBack) {
      this.applyReport(worker, report, {name, taskId, nowMs});
    }
    this.tick(nowMs);
  }

  /** Handles the failure of a command. */
  onFailure(commandId: number, wasSent: boolean, nowMs: number): void {
    const worker = this.pending.get(commandId);
    if (!worker || worker.inFlight?.commandId !== commandId) return;
    this.pending.delete(commandId);
    const {name, taskId} = worker.inFlight;
    worker.inFlight = undefined;
    worker.isFailing = true;
    worker.nextContactMs =
      nowMs + this.withJitter(this.options.timings.retryMs);
    const task = taskId && this.options.registry.tasks.get(taskId);
    if (name === 'start' && !wasSent && task) {
      this.options.registry.markNotStarted(task);
    }
    const mustRepeat = name === 'stop' || name === 'checkpoint';
    if (mustRepeat && taskId) worker.operations.unshift({name, taskId});
    this.reportHandler.cancelUnsentStarts(worker);
    if (worker.capacity) {
      this.options.placement.setAccepting(worker.name, false);
    }
  }

  /** Handles the result of a confirmation; undefined if the read failed. */
  onOwnershipConfirmed(
    requestId: number,
    isOwner: boolean | undefined,
    nowMs: number,
  ): void {
    const {confirmation} = this;
    if (confirmation?.requestId !== requestId) return;
    this.confirmation = undefined;
    if (isOwner === undefined) {
      const {retryMs} = this.options.timings;
      this.confirmRetryAtMs = nowMs + this.withJitter(retryMs);
      return;
    }
    if (!isOwner) {
      this.options.onSuperseded('the ownership record names another owner');
      return;
    }
    for (const [worker, incarnation] of confirmation.incarnations) {
      worker.isConfirmed ||= worker.incarnation === incarnation;
    }
    for (const [worker, reading] of confirmation.expired) {
      if (worker.reading !== reading || worker.isRemoved) continue;
      worker.isExpiryConfirmed = true;
      this.reportHandler.markAllStopped(worker);
    }
    this.tick(nowMs);
  }

  private applyReport(
    worker: ShardWorker,
    report: WorkerReport,
    command: {name: string; taskId?: string; nowMs: number},
  ): void {
    const {name, taskId, nowMs} = command;
    worker.recordReport(report, nowMs);
    worker.isLeaving ||= report.leaving;
    if (name === 'renew' || name === 'readBack') {
      const {renewMs} = this.options.timings;
      // A renewal follows a read-back at once, to extend inherited leases.
      const waitMs = name === 'renew' ? this.withJitter(renewMs) : 0;
      worker.nextContactMs = nowMs + waitMs;
    }
    this.reportHandler.apply(worker, report);
    const endMs =
      nowMs + timeUntilNextEnd(this.options.registry, worker, nowMs);
    worker.nextContactMs = Math.min(worker.nextContactMs, endMs);
    const task = taskId ? this.options.registry.tasks.get(taskId) : undefined;
    const isCheckpointed = name === 'checkpoint' && !report.refusal && task;
    if (isCheckpointed && this.options.registry.advance(task, 'checkpointed')) {
      worker.operations.push({name: 'stop', taskId: task.taskId});
    }
  }

  private sendNext(worker: ShardWorker, nowMs: number): void {
    if (worker.inFlight || worker.isRemoved) return;
    if (nowMs >= worker.nextContactMs) {
      const operation: WorkerOperation = worker.isReadBack
        ? {name: 'renew', leaseUntilMs: worker.grantLease()}
        : {name: 'readBack'};
      this.send(worker, operation);
      return;
    }
    if (!worker.isReadBack || worker.isFailing) return;
    for (;;) {
      const queued = worker.operations.shift();
      if (!queued) return;
      const operation = this.toOperation(worker, queued, nowMs);
      if (!operation) continue;
      this.send(worker, operation);
      return;
    }
  }

  private toOperation(
    worker: ShardWorker,
    queued: QueuedOperation,
    nowMs: number,
  ): WorkerOperation | undefined {
    if (queued.name !== 'start') return queued;
    const {registry, timings} = this.options;
    const task = registry.tasks.get(queued.taskId);
    const assignment = task?.assignment;
    if (!task || assignment?.worker !== worker.name || assignment.isSent) {
      return undefined;
    }
    const isObsolete =
      task.shardJob.isCancelRequested ||
      !worker.canAcceptTasks(nowMs) ||
      worker.endedTaskIds.has(task.taskId);
    if (isObsolete) {
      registry.markNotStarted(task);
      return undefined;
    }
    const startBeforeMs = worker.reading!.clockMs + timings.startWindowMs;
    assignment.isSent = true;
    assignment.startBeforeMs = startBeforeMs;
    assignment.sentMs = nowMs;
    worker.startDeadlines.set(task.taskId, startBeforeMs);
    const {job} = task.shardJob;
    return {
      name: 'start',
      start: {
        taskId: task.taskId,
        kind: job.kind,
        resources: job.resources,
        startBeforeMs,
        leaseUntilMs: worker.grantLease(),
        checkpoint: task.record.checkpoint,
        payload: job.payload,
      },
    };
  }

  private send(worker: ShardWorker, operation: WorkerOperation): void {
    const commandId = this.nextId++;
    const {shard, epoch, emit} = this.options;
    worker.inFlight = {
      commandId,
      name: operation.name,
      taskId:
        operation.name === 'start'
          ? operation.start.taskId
          : 'taskId' in operation
            ? operation.taskId
            : undefined,
    };
    this.pending.set(commandId, worker);
    emit({
      type: 'command',
      commandId,
      worker: worker.name,
      context: {shard, epoch, incarnation: worker.incarnation},
      operation,
    });
  }

  private remove(worker: ShardWorker): void {
    worker.isRemoved = true;
    this.workers.delete(worker.name);
    this.probing.delete(worker.name);
    this.options.health?.removeWorker(worker.name);
    this.reportHandler.onWorkerRemoved(worker);
  }

  private updateAccepting(worker: ShardWorker, nowMs: number): void {
    if (!worker.capacity) return;
    const {health, placement, registry} = this.options;
    const state = health?.state(worker.name) ?? HealthState.HEALTHY;
    if (state === HealthState.PROBING) this.probing.add(worker.name);
    else this.probing.delete(worker.name);
    const isFit =
      state === HealthState.HEALTHY ||
      (state === HealthState.PROBING && registry.countOn(worker.name) === 0);
    const isAccepting = isFit && worker.canAcceptTasks(nowMs);
    placement.setAccepting(worker.name, isAccepting);
  }

  private settleIfAllReadBack(): void {
    if (this.hasSettled || !this.hasWorkerList) return;
    const workers = [...this.workers.values()];
    if (!workers.every((worker) => worker.wasReadBack)) return;
    this.hasSettled = true;
    this.options.registry.settle();
  }

  private confirmOwnershipIfNeeded(nowMs: number): void {
    if (this.confirmation || nowMs < this.confirmRetryAtMs) return;
    const incarnations = new Map<ShardWorker, string>();
    const expired = new Map<ShardWorker, unknown>();
    for (const worker of this.workers.values()) {
      if (worker.isReadBack && !worker.isConfirmed) {
        incarnations.set(worker, worker.incarnation);
      }
      if (this.hasExpired(worker, nowMs)) expired.set(worker, worker.reading);
    }
    if (incarnations.size === 0 && expired.size === 0) return;
    const requestId = this.nextId++;
    this.confirmation = {requestId, incarnations, expired};
    this.options.emit({type: 'confirmOwnership', requestId});
  }

  private hasExpired(worker: ShardWorker, nowMs: number): boolean {
    if (!worker.wasReadBack || worker.isExpiryConfirmed) return false;
    if (nowMs <= worker.leasesEndMs) return false;
    return (
      this.options.registry.countOn(worker.name) > 0 ||
      this.reportHandler.hasOrphanRuns(worker)
    );
  }

  private withJitter(durationMs: number): number {
    return durationMs * (0.9 + 0.2 * this.options.random.next());
  }
}
