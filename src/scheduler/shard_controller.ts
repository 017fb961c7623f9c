import {Urgency} from '../contracts/urgency.js';
import {Job} from '../jobs/job.js';
import {JobPages} from '../jobs/job_pages.js';
import {JobRecord} from '../jobs/job_record.js';
import {WaitingQueue} from '../jobs/waiting_queue.js';
import {WriteRateLimiter} from '../jobs/write_rate_limiter.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {WorkerHealth} from '../placement/worker_health.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {CustomerLimits} from './customer_limits.js';
import {ShardCommand, ShardEvent} from './shard_command.js';
import {ShardJob, ShardTask} from './shard_task.js';
import {SHARD_TIMINGS, ShardTimings} from './shard_timings.js';
import {TaskRegistry} from './task_registry.js';
import {TaskPlacer} from './task_placer.js';
import {WorkerProtocol} from './worker_protocol.js';

/** Options of {@link ShardController}. */
export interface ShardControllerOptions {
  dataCentre: string;
  shard: string;
  /** Fencing token of this ownership of the shard. */
  epoch: number;
  /** Empty placement policy, to which the controller adds the workers. */
  placement: PlacementPolicy;
  /** Rate limit of page writes, shared by all shards of the process. */
  budget: WriteRateLimiter;
  random: RandomSource;
  /** Wall-clock time in ms; only used for time stamps in records. */
  wallMs: () => number;
  /** Fair-share weight of a customer. @default 1 for all customers */
  shareOf?: (customer: string) => number;
  /** Contract limits of a customer on this shard. @default no limits */
  limitsOf?: (customer: string) => CustomerLimits | undefined;
  /** Health of the workers by task outcomes. @default all are healthy */
  health?: WorkerHealth;
  /** @default SHARD_TIMINGS */
  timings?: Partial<ShardTimings>;
}

const NOT_READY_RETRY_MS = 500;

/**
 * Scheduling logic of one owned shard: accepts jobs, places their tasks on the
 * workers, and tracks them until they end. Performs no I/O: takes events and
 * returns the commands that a `ShardDriver` executes.
 */
export class ShardController {
  /** Set once another process owns the shard; all later events are ignored. */
  isSuperseded = false;
  private commands: ShardCommand[] = [];
  private readonly queue: WaitingQueue;
  private readonly registry: TaskRegistry;
  private readonly pages: JobPages;
  private readonly protocol: WorkerProtocol;
  private readonly placer: TaskPlacer;
  private nowMs = 0;

  constructor(private readonly options: ShardControllerOptions) {
    const {dataCentre, shard, epoch, placement, random} = options;
    this.queue = new WaitingQueue({shareOf: options.shareOf});
    this.registry = new TaskRegistry({
      placement,
      queue: this.queue,
      store: (job) => this.pages.put(job.job.id, job.record),
      onJobEnded: (job) => this.emit({type: 'jobEnded', jobId: job.job.id}),
      onStopNeeded: (task) => this.stopTask(task),
      wallMs: options.wallMs,
    });
    this.pages = new JobPages(
      {
        prefix: `jobs/${dataCentre}/${shard}/`,
        epoch,
        writeLimiter: options.budget,
      },
      {
        onLoaded: (records) => this.onLoaded(records),
        onStored: (jobId, version) => this.onStored(jobId, version),
        onNotStored: (jobId) => this.onNotStored(jobId),
        onDropped: (jobId) => this.registry.remove(jobId),
        onSuperseded: () => this.supersede('a later owner has written a page'),
      },
    );
    this.protocol = new WorkerProtocol({
      shard,
      epoch,
      timings: {...SHARD_TIMINGS, ...options.timings},
      registry: this.registry,
      placement,
      random,
      health: options.health,
      emit: (command) => this.emit(command),
      onSuperseded: (reason) => this.supersede(reason),
    });
    this.placer = new TaskPlacer({
      ...options,
      registry: this.registry,
      queue: this.queue,
      protocol: this.protocol,
      emit: (command) => this.emit(command),
    });
  }

  /** Whether the stored jobs are loaded and new ones are accepted. */
  get isReady(): boolean {
    return this.pages.isReady && !this.isSuperseded;
  }

  /** Whether all inherited tasks were found on a worker or queued again. */
  get isSettled(): boolean {
    return this.protocol.isSettled;
  }

  /** Number of tasks waiting for placement. */
  get waitingCount(): number {
    return this.queue.size;
  }

  /** Returns a job of this shard. */
  job(jobId: string): ShardJob | undefined {
    return this.registry.jobs.get(jobId);
  }

  /** Returns all jobs of this shard. */
  jobs(): Iterable<ShardJob> {
    return this.registry.jobs.values();
  }

  /**
   * Handles an event.
   *
   * @param event - What happened.
   * @param nowMs - Current monotonic time of this process in ms.
   * @returns Commands to execute, in this order.
   */
  handle(event: ShardEvent, nowMs: number): ShardCommand[] {
    if (this.isSuperseded) return [];
    this.nowMs = this.registry.nowMs = nowMs;
    this.dispatch(event);
    if (!this.isSuperseded) this.placer.run(nowMs);
    if (!this.isSuperseded) this.emitPageCommands();
    const {commands} = this;
    this.commands = [];
    return commands;
  }

  private dispatch(event: ShardEvent): void {
    const {protocol, pages, nowMs} = this;
    switch (event.type) {
      case 'tick':
        if (pages.isReady) protocol.tick(nowMs);
        break;
      case 'workersListed':
        if (pages.isReady) protocol.updateWorkers(event.workers, nowMs);
        break;
      case 'workerAnswered':
        protocol.onAnswer(event.commandId, event.report, nowMs);
        break;
      case 'workerFailed':
        protocol.onFailure(event.commandId, event.wasSent, nowMs);
        break;
      case 'ownershipConfirmed':
        protocol.onOwnershipConfirmed(event.requestId, event.isOwner, nowMs);
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
    const known = this.registry.jobs.get(job.id);
    if (known) {
      const isAccepted = known.storedVersion > 0 || job.isAttached;
      if (isAccepted) this.emit({type: 'accepted', jobId: job.id});
      return;
    }
    if (!this.isReady) {
      const reason = `stored jobs are loading; retry in ${NOT_READY_RETRY_MS} ms`;
      this.refuse(job.id, {code: ResultCodes.NO_OWNER, reason});
      return;
    }
    const request = this.registry.placementRequestOfJob(job, 0);
    const hasNoWorkers =
      this.protocol.isSettled && this.protocol.workers.size === 0;
    const reason = hasNoWorkers
      ? 'the rack has no workers'
      : this.options.placement.neverFitsReason(request);
    if (reason !== undefined) {
      // A worker that has not been read back yet may be large enough.
      const code = this.protocol.isSettled
        ? ResultCodes.NEVER_FITS
        : ResultCodes.NO_OWNER;
      this.refuse(job.id, {code, reason});
      return;
    }
    if (this.exceedsQueueLimit(job)) {
      const text = `customer "${job.customer}" has reached the queue limit of its contract`;
      this.refuse(job.id, {code: ResultCodes.QUEUE_FULL, reason: text});
      return;
    }
    this.registry.add(job);
    if (job.isAttached) this.emit({type: 'accepted', jobId: job.id});
  }

  private exceedsQueueLimit({customer, urgency, count}: Job): boolean {
    const limits = this.options.limitsOf?.(customer);
    if (!limits) return false;
    const waiting = this.queue.waitingOf(customer, urgency as Urgency);
    return waiting + count > limits.maxWaiting[urgency as Urgency];
  }

  private refuse(
    jobId: string,
    refusal: {code: ResultCode; reason: string},
  ): void {
    this.emit({type: 'refused', jobId, ...refusal});
  }

  private cancel(jobId: string): void {
    const job = this.registry.jobs.get(jobId);
    if (!job) return;
    if (job.tasks.every((task) => task.state === 'ended')) {
      this.emit({type: 'jobEnded', jobId});
    } else this.registry.cancel(job);
  }

  private onLoaded(records: JobRecord[]): void {
    for (const record of records) this.registry.addInherited(record);
  }

  private onStored(jobId: string, version: number): void {
    const job = this.registry.jobs.get(jobId);
    if (!job) return;
    const isNew = job.storedVersion === 0;
    this.registry.markStored(job, version);
    if (isNew) this.emit({type: 'accepted', jobId});
  }

  private onNotStored(jobId: string): void {
    this.registry.remove(jobId);
    const reason =
      'the job could not be stored: the platform cannot be reached';
    this.refuse(jobId, {code: ResultCodes.PLATFORM_UNAVAILABLE, reason});
  }

  private stopTask(task: ShardTask): void {
    if (!task.assignment) return;
    const {worker} = task.assignment;
    this.protocol.enqueue(
      worker,
      {name: 'stop', taskId: task.taskId},
      this.nowMs,
    );
  }

  private emitPageCommands(): void {
    const pageCommands = this.pages.tick(this.nowMs, this.options.wallMs());
    this.commands.push(...pageCommands);
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
