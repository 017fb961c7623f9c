import {Urgency} from '../contracts/urgency.js';
import {WaitingEntry, WaitingQueue} from '../jobs/waiting_queue.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {HealthState, WorkerHealth} from '../placement/worker_health.js';
import {CustomerLimits} from './customer_limits.js';
import {ShardCommand} from './shard_command.js';
import {ShardTask} from './shard_task.js';
import {TaskBook} from './task_book.js';
import {WorkerExchange} from './worker_exchange.js';

/** Options of {@link TaskPlacer}. */
export interface TaskPlacerOptions {
  book: TaskBook;
  queue: WaitingQueue;
  exchange: WorkerExchange;
  placement: PlacementPolicy;
  /** What the contract allows a customer here. @default no limits */
  limitsOf?: (customer: string) => CustomerLimits | undefined;
  /** Judges workers by how tasks end on them. @default all are healthy */
  health?: WorkerHealth;
  /** Takes commands for the surroundings. */
  emit: (command: ShardCommand) => void;
}

/** Healthy workers on which a task may fail before its job ends as failed. */
const MOST_FAILURES = 3;

/** Brings waiting tasks to workers, within contracts and capacities. */
export class TaskPlacer {
  private nowMs = 0;

  constructor(private readonly options: TaskPlacerOptions) {}

  /** Empties leaving workers and places waiting tasks in their order. */
  run(nowMs: number): void {
    this.nowMs = nowMs;
    this.drainLeaving();
    if (this.options.queue.size === 0) return;
    this.options.queue.dispatch(this.nowMs, (entry) => this.place(entry));
  }

  private place(entry: WaitingEntry): boolean {
    const task = this.options.book.tasks.get(entry.taskId)!;
    // A worker that came back may have told a newer checkpoint meanwhile.
    if (!task.isStored) return false;
    if (task.victims.size > 0 && this.isEvicting(task)) return false;
    if (this.hasFailedEverywhere(task)) {
      this.options.book.giveUp(task);
      return true;
    }
    if (!this.isAllowed(task)) return false;
    const request = {
      ...this.options.book.requestOf(task),
      excludedWorkers: this.excludedWorkers(task),
    };
    const placement = this.options.placement.place(request);
    if (!placement) return false;
    const {worker: name, victims} = placement;
    const worker = this.options.exchange.workers.get(name);
    if (!worker?.canTakeWork(this.nowMs)) {
      this.options.placement.setAccepting(name, false);
      return false;
    }
    if (victims.length > 0) {
      this.preempt(task, victims);
      return false;
    }
    this.options.book.commit(task, {
      worker: name,
      incarnation: worker.incarnation,
    });
    this.options.book.advance(task, 'placed');
    if (this.options.exchange.probing.has(name)) {
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
    this.options.exchange.enqueue(
      name,
      {name: 'start', taskId: task.taskId},
      this.nowMs,
    );
    return true;
  }

  /** Failures on workers that turned out to be broken don't count. */
  private hasFailedEverywhere(task: ShardTask): boolean {
    const {failures = []} = task.record;
    if (failures.length === 0) return false;
    const healthy = new Set(
      failures
        .map((failure) => failure.worker)
        .filter((worker) => this.healthOf(worker) === HealthState.HEALTHY),
    );
    const enough = Math.min(MOST_FAILURES, this.options.exchange.workers.size);
    return healthy.size >= enough;
  }

  private isAllowed({owner: {job}}: ShardTask): boolean {
    const limits = this.options.limitsOf?.(job.customer);
    if (!limits) return true;
    const capacity = this.options.exchange.capacity();
    const {customer, resources} = job;
    return this.options.book.usage.allows(customer, resources, {
      limits,
      capacity,
    });
  }

  private excludedWorkers(task: ShardTask): ReadonlySet<string> {
    const {failures = []} = task.record;
    const {job} = task.owner;
    const takesProbes = job.urgency === Urgency.BATCH && !job.isAttached;
    const {probing} = this.options.exchange;
    if (failures.length === 0 && (takesProbes || probing.size === 0)) {
      return task.recordedAt;
    }
    const excluded = new Set(task.recordedAt);
    for (const {worker} of failures) excluded.add(worker);
    if (!takesProbes) for (const worker of probing) excluded.add(worker);
    return excluded;
  }

  private healthOf(worker: string): HealthState {
    return this.options.health?.state(worker) ?? HealthState.HEALTHY;
  }

  private isEvicting(task: ShardTask): boolean {
    for (const victim of task.victims) {
      const isThere = this.options.book.tasks.get(victim)?.place;
      if (!isThere) task.victims.delete(victim);
    }
    return task.victims.size > 0;
  }

  /** Moves running tasks off workers that are about to be removed. */
  private drainLeaving(): void {
    for (const worker of this.options.exchange.workers.values()) {
      if (!worker.isLeaving || !worker.isReadBack) continue;
      if (this.options.book.countOn(worker.worker) === 0) continue;
      for (const task of this.options.book.tasksOn(worker.worker)) {
        this.evict(task, `${worker.worker} is leaving`);
      }
    }
  }

  /** Evicts tasks that make room for a more urgent one. */
  private preempt(task: ShardTask, victims: readonly string[]): void {
    for (const taskId of victims) {
      const victim = this.options.book.tasks.get(taskId);
      if (!victim?.place) continue;
      task.victims.add(taskId);
      this.evict(victim, `makes room for ${task.taskId}`);
    }
  }

  /** Checkpoints a running task; it stops once the checkpoint is taken. */
  private evict(victim: ShardTask, reason: string): void {
    const {taskId, place} = victim;
    if (!place || !this.options.book.advance(victim, 'evicted')) return;
    const {worker} = place;
    this.options.emit({
      type: 'decided',
      kind: 'evict',
      subject: taskId,
      chosen: worker,
      reason,
    });
    this.options.exchange.enqueue(
      worker,
      {name: 'checkpoint', taskId},
      this.nowMs,
    );
  }
}
