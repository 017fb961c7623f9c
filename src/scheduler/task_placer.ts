import {Urgency} from '../contracts/urgency.js';
import {WaitingEntry, WaitingQueue} from '../jobs/waiting_queue.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {HealthState, WorkerHealth} from '../placement/worker_health.js';
import {CustomerLimits} from './customer_limits.js';
import {ShardCommand} from './shard_command.js';
import {ShardTask} from './shard_task.js';
import {TaskRegistry} from './task_registry.js';
import {WorkerProtocol} from './worker_protocol.js';

/** Options of {@link TaskPlacer}. */
export interface TaskPlacerOptions {
  registry: TaskRegistry;
  queue: WaitingQueue;
  protocol: WorkerProtocol;
  placement: PlacementPolicy;
  /** Contract limits of a customer on this shard. @default no limits */
  limitsOf?: (customer: string) => CustomerLimits | undefined;
  /** Health of the workers by task outcomes. @default all are healthy */
  health?: WorkerHealth;
  /** Receives the decisions, for the decision log. */
  emit: (command: ShardCommand) => void;
}

/** Number of healthy workers on which a task may fail before its job fails. */
const MAX_FAILED_WORKERS = 3;

/** Places waiting tasks on workers, within contract limits and capacities. */
export class TaskPlacer {
  private nowMs = 0;

  constructor(private readonly options: TaskPlacerOptions) {}

  /** Evicts tasks from leaving workers, then places waiting tasks in order. */
  run(nowMs: number): void {
    this.nowMs = nowMs;
    this.drainLeavingWorkers();
    if (this.options.queue.size === 0) return;
    this.options.queue.dispatch(this.nowMs, (entry) => this.place(entry));
  }

  private place(entry: WaitingEntry): boolean {
    const task = this.options.registry.tasks.get(entry.taskId)!;
    // A worker that became reachable again may have reported a newer checkpoint
    // since the task was queued.
    if (!task.isStored) return false;
    if (task.victims.size > 0 && this.hasPendingEvictions(task)) return false;
    if (this.hasFailedTooOften(task)) {
      this.options.registry.abandon(task);
      return true;
    }
    if (!this.isWithinLimits(task)) return false;
    const request = {
      ...this.options.registry.placementRequestOf(task),
      excludedWorkers: this.excludedWorkers(task),
    };
    const placement = this.options.placement.place(request);
    if (!placement) return false;
    const {worker: name, victims} = placement;
    const worker = this.options.protocol.workers.get(name);
    if (!worker?.canAcceptTasks(this.nowMs)) {
      this.options.placement.setAccepting(name, false);
      return false;
    }
    if (victims.length > 0) {
      this.preempt(task, victims);
      return false;
    }
    this.options.registry.commit(task, {
      worker: name,
      incarnation: worker.incarnation,
    });
    this.options.registry.advance(task, 'placed');
    if (this.options.protocol.probing.has(name)) {
      this.options.placement.setAccepting(name, false);
    }
    this.options.emit({
      type: 'decided',
      kind: 'place',
      subject: task.taskId,
      chosen: name,
      reason: placement.reason,
      passedOver: placement.passedOver,
    });
    this.options.protocol.enqueue(
      name,
      {name: 'start', taskId: task.taskId},
      this.nowMs,
    );
    return true;
  }

  /** Whether to abandon the task; failures on unhealthy workers do not count. */
  private hasFailedTooOften(task: ShardTask): boolean {
    const {failures = []} = task.record;
    if (failures.length === 0) return false;
    const healthy = new Set(
      failures
        .map((failure) => failure.worker)
        .filter((worker) => this.healthOf(worker) === HealthState.HEALTHY),
    );
    const maxFailures = Math.min(
      MAX_FAILED_WORKERS,
      this.options.protocol.workers.size,
    );
    return healthy.size >= maxFailures;
  }

  private isWithinLimits({shardJob: {job}}: ShardTask): boolean {
    const limits = this.options.limitsOf?.(job.customer);
    if (!limits) return true;
    const capacity = this.options.protocol.capacity();
    const {customer, resources} = job;
    return this.options.registry.usage.allows(customer, resources, {
      limits,
      capacity,
    });
  }

  private excludedWorkers(task: ShardTask): ReadonlySet<string> {
    const {failures = []} = task.record;
    const {job} = task.shardJob;
    const mayProbe = job.urgency === Urgency.BATCH && !job.isAttached;
    const {probing} = this.options.protocol;
    if (failures.length === 0 && (mayProbe || probing.size === 0)) {
      return task.workersWithRecord;
    }
    const excluded = new Set(task.workersWithRecord);
    for (const {worker} of failures) excluded.add(worker);
    if (!mayProbe) for (const worker of probing) excluded.add(worker);
    return excluded;
  }

  private healthOf(worker: string): HealthState {
    return this.options.health?.state(worker) ?? HealthState.HEALTHY;
  }

  private hasPendingEvictions(task: ShardTask): boolean {
    for (const victim of task.victims) {
      const isStillAssigned =
        this.options.registry.tasks.get(victim)?.assignment;
      if (!isStillAssigned) task.victims.delete(victim);
    }
    return task.victims.size > 0;
  }

  /** Evicts running tasks from workers that are about to be removed. */
  private drainLeavingWorkers(): void {
    for (const worker of this.options.protocol.workers.values()) {
      if (!worker.isLeaving || !worker.isReadBack) continue;
      if (this.options.registry.countOn(worker.name) === 0) continue;
      for (const task of this.options.registry.tasksOn(worker.name)) {
        this.evict(task, `${worker.name} is leaving`);
      }
    }
  }

  /** Evicts tasks in favour of a more urgent one. */
  private preempt(task: ShardTask, victims: readonly string[]): void {
    for (const taskId of victims) {
      const victim = this.options.registry.tasks.get(taskId);
      if (!victim?.assignment) continue;
      task.victims.add(taskId);
      this.evict(victim, `makes room for ${task.taskId}`);
    }
  }

  /** Requests a checkpoint of a running task, after which it is stopped. */
  private evict(task: ShardTask, reason: string): void {
    const {taskId, assignment} = task;
    if (!assignment || !this.options.registry.advance(task, 'evicted')) return;
    const {worker} = assignment;
    this.options.emit({
      type: 'decided',
      kind: 'evict',
      subject: taskId,
      chosen: worker,
      reason,
    });
    this.options.protocol.enqueue(
      worker,
      {name: 'checkpoint', taskId},
      this.nowMs,
    );
  }
}
