import {Job} from '../jobs/job.js';
import {JobPages} from '../jobs/job_pages.js';
import {JobRecord} from '../jobs/job_record.js';
import {WaitingEntry, WaitingQueue} from '../jobs/waiting_queue.js';
import {WriteBudget} from '../jobs/write_budget.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ShardCommand, ShardEvent} from './shard_command.js';
import {ShardJob, ShardTask} from './shard_task.js';
import {SHARD_TIMINGS, ShardTimings} from './shard_timings.js';
import {TaskBook} from './task_book.js';
import {WorkerExchange} from './worker_exchange.js';

/** Options of {@link ShardController}. */
export interface ShardControllerOptions {
  dataCentre: string;
  shard: string;
  /** Fencing token of this ownership. */
  epoch: number;
  /** Empty policy; the controller adds the workers. */
  placement: PlacementPolicy;
  /** Limits page writes; shared by all shards of the process. */
  budget: WriteBudget;
  random: RandomSource;
  /** Wall-clock time in ms, for records only. */
  wallMs: () => number;
  /** Weight of a customer. @default 1 for all */
  shareOf?: (customer: string) => number;
  /** Tells whether the contract lets the task start now. @default always */
  mayStart?: (task: ShardTask) => boolean;
  /** @default SHARD_TIMINGS */
  timings?: Partial<ShardTimings>;
}

const NOT_READY_RETRY_MS = 500;

/**
 * Decides for one owned shard: accepts jobs, places their tasks, and follows
 * them until they end. Performs no I/O: events go in, commands come out.
 */
export class ShardController {
  /** Set once a later owner has taken the shard; nothing is done after it. */
  isSuperseded = false;
  private commands: ShardCommand[] = [];
  private readonly queue: WaitingQueue;
  private readonly book: TaskBook;
  private readonly pages: JobPages;
  private readonly exchange: WorkerExchange;
  private nowMs = 0;

  constructor(private readonly options: ShardControllerOptions) {
    const {dataCentre, shard, epoch, placement, random} = options;
    this.queue = new WaitingQueue({shareOf: options.shareOf});
    this.book = new TaskBook({
      placement,
      queue: this.queue,
      store: (job) => this.pages.put(job.job.id, job.record),
      onJobEnded: (job) => this.emit({type: 'jobEnded', jobId: job.job.id}),
      onStopNeeded: (task) => this.stop(task),
      wallMs: options.wallMs,
    });
    this.pages = new JobPages(
      {prefix: `jobs/${dataCentre}/${shard}/`, epoch, budget: options.budget},
      {
        onLoaded: (records) => this.onLoaded(records),
        onStored: (jobId, version) => this.onStored(jobId, version),
        onNotStored: (jobId) => this.onNotStored(jobId),
        onDropped: (jobId) => this.book.drop(jobId),
        onSuperseded: () => this.supersede('a later owner wrote a page'),
      },
    );
    this.exchange = new WorkerExchange({
      shard,
      epoch,
      timings: {...SHARD_TIMINGS, ...options.timings},
      book: this.book,
      placement,
      random,
      emit: (command) => this.emit(command),
      onSuperseded: (reason) => this.supersede(reason),
    });
  }

  /** Tells whether the stored jobs are loaded and new ones are accepted. */
  get isReady(): boolean {
    return this.pages.isReady && !this.isSuperseded;
  }

  /** Tells whether inherited work has been found or is placed again. */
  get isSettled(): boolean {
    return this.exchange.isSettled;
  }

  /** Number of tasks that wait for a worker. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Returns a job that is known here. */
  job(jobId: string): ShardJob | undefined {
    return this.book.jobs.get(jobId);
  }

  /** All jobs that are known here. */
  jobs(): Iterable<ShardJob> {
    return this.book.jobs.values();
  }

  /**
   * Takes an event.
   *
   * @param event - What happened.
   * @param nowMs - Owner's monotonic time at which it is handled.
   * @returns What has to be done, in this order.
   */
  handle(event: ShardEvent, nowMs: number): ShardCommand[] {
    if (this.isSuperseded) return [];
    this.nowMs = this.book.nowMs = nowMs;
    this.apply(event);
    if (!this.isSuperseded) this.drainLeaving();
    if (!this.isSuperseded) this.placeWaiting();
    if (!this.isSuperseded) this.tickPages();
    const {commands} = this;
    this.commands = [];
    return commands;
  }

  private apply(event: ShardEvent): void {
    const {exchange, pages, nowMs} = this;
    switch (event.type) {
      case 'tick':
        if (pages.isReady) exchange.tick(nowMs);
        break;
      case 'workersListed':
        if (pages.isReady) exchange.listed(event.workers, nowMs);
        break;
      case 'workerAnswered':
        exchange.answered(event.commandId, event.report, nowMs);
        break;
      case 'workerFailed':
        exchange.failed(event.commandId, event.wasSent, nowMs);
        break;
      case 'ownershipConfirmed':
        exchange.confirmed(event.requestId, event.isOwner, nowMs);
        break;
      case 'pagesListed':
        pages.onListed(event.entries);
        break;
      case 'pageWritten':
        pages.onWritten(event.key, event.writeId, event.result);
        break;
      case 'pageWriteFailed':
        pages.onWriteFailed(event.key, event.writeId, event.wasSent);
        break;
      case 'pageRead':
        pages.onRead(event.key, event.writeId, event.entry);
        break;
      case 'pageReadFailed':
        pages.onReadFailed(event.key, event.writeId);
        break;
      case 'submitted':
        this.submit(event.job);
        break;
      case 'cancelled':
        this.cancel(event.jobId);
        break;
    }
  }

  private submit(job: Job): void {
    const known = this.book.jobs.get(job.id);
    if (known) {
      const isAccepted = known.storedVersion > 0 || job.isAttached;
      if (isAccepted) this.emit({type: 'accepted', jobId: job.id});
      return;
    }
    if (!this.isReady) {
      const reason = `the owner is taking over; retry in ${NOT_READY_RETRY_MS} ms`;
      this.refuse(job.id, {code: ResultCodes.NO_OWNER, reason});
      return;
    }
    const request = this.book.requestOfJob(job, 0);
    const reason = this.exchange.isSettled
      ? this.options.placement.whyNeverFits(request)
      : undefined;
    if (reason !== undefined) {
      this.refuse(job.id, {code: ResultCodes.NEVER_FITS, reason});
      return;
    }
    this.book.add(job);
    if (job.isAttached) this.emit({type: 'accepted', jobId: job.id});
  }

  private refuse(
    jobId: string,
    refusal: {code: ResultCode; reason: string},
  ): void {
    this.emit({type: 'refused', jobId, ...refusal});
  }

  private cancel(jobId: string): void {
    const job = this.book.jobs.get(jobId);
    if (!job) return;
    if (job.tasks.every((task) => task.state === 'ended')) {
      this.emit({type: 'jobEnded', jobId});
    } else this.book.cancel(job);
  }

  private onLoaded(records: JobRecord[]): void {
    for (const record of records) this.book.inherit(record);
  }

  private onStored(jobId: string, version: number): void {
    const job = this.book.jobs.get(jobId);
    if (!job) return;
    const isNew = job.storedVersion === 0;
    this.book.stored(job, version);
    if (isNew) this.emit({type: 'accepted', jobId});
  }

  private onNotStored(jobId: string): void {
    this.book.drop(jobId);
    const reason = 'the platform cannot be reached';
    this.refuse(jobId, {code: ResultCodes.PLATFORM_UNAVAILABLE, reason});
  }

  private stop(task: ShardTask): void {
    if (!task.place) return;
    const {worker} = task.place;
    this.exchange.enqueue(
      worker,
      {name: 'stop', taskId: task.taskId},
      this.nowMs,
    );
  }

  private placeWaiting(): void {
    if (this.queue.size === 0) return;
    this.queue.pass(this.nowMs, (entry) => this.place(entry));
  }

  private place(entry: WaitingEntry): boolean {
    const task = this.book.tasks.get(entry.taskId)!;
    if (task.victims.size > 0 && this.isEvicting(task)) return false;
    if (this.options.mayStart && !this.options.mayStart(task)) return false;
    const request = {
      ...this.book.requestOf(task),
      excludedWorkers: excludedWorkers(task),
    };
    const placement = this.options.placement.place(request);
    if (!placement) return false;
    const {worker: name, victims} = placement;
    const worker = this.exchange.workers.get(name);
    if (!worker?.canTakeWork(this.nowMs)) {
      this.options.placement.setAccepting(name, false);
      return false;
    }
    if (victims.length > 0) {
      this.preempt(task, victims);
      return false;
    }
    this.book.commit(task, {worker: name, incarnation: worker.incarnation});
    this.book.advance(task, 'placed');
    this.emit({
      type: 'decided',
      kind: 'place',
      subject: task.taskId,
      chosen: name,
      reason: placement.reason,
      passedOver: placement.passedOver,
    });
    this.exchange.enqueue(
      name,
      {name: 'start', taskId: task.taskId},
      this.nowMs,
    );
    return true;
  }

  private isEvicting(task: ShardTask): boolean {
    for (const victim of task.victims) {
      if (!this.book.tasks.get(victim)?.place) task.victims.delete(victim);
    }
    return task.victims.size > 0;
  }

  /** Moves running tasks off workers that are about to be removed. */
  private drainLeaving(): void {
    for (const worker of this.exchange.workers.values()) {
      if (!worker.isLeaving || !worker.isReadBack) continue;
      if (this.book.countOn(worker.worker) === 0) continue;
      for (const task of this.book.tasksOn(worker.worker)) {
        this.evict(task, `${worker.worker} is leaving`);
      }
    }
  }

  /** Evicts tasks that make room for a more urgent one. */
  private preempt(task: ShardTask, victims: readonly string[]): void {
    for (const taskId of victims) {
      const victim = this.book.tasks.get(taskId);
      if (!victim?.place) continue;
      task.victims.add(taskId);
      this.evict(victim, `makes room for ${task.taskId}`);
    }
  }

  /** Checkpoints a running task; it stops once the checkpoint is taken. */
  private evict(victim: ShardTask, reason: string): void {
    const {taskId, place} = victim;
    if (!place || !this.book.advance(victim, 'evicted')) return;
    const {worker} = place;
    this.emit({
      type: 'decided',
      kind: 'evict',
      subject: taskId,
      chosen: worker,
      reason,
    });
    this.exchange.enqueue(worker, {name: 'checkpoint', taskId}, this.nowMs);
  }

  private tickPages(): void {
    const calls = this.pages.tick(this.nowMs, this.options.wallMs());
    this.commands.push(...calls);
  }

  private supersede(reason: string): void {
    if (this.isSuperseded) return;
    this.isSuperseded = true;
    this.emit({type: 'superseded', reason});
  }

  private emit(command: ShardCommand): void {
    this.commands.push(command);
  }
}

function excludedWorkers(task: ShardTask): ReadonlySet<string> | undefined {
  const failures = task.record.failures ?? [];
  if (failures.length === 0) return task.recordedAt;
  return new Set([
    ...task.recordedAt,
    ...failures.map((failure) => failure.worker),
  ]);
}
