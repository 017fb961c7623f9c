import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';
import {SlowdownModel} from '../interference/slowdown_model.js';
import {Job} from '../jobs/job.js';
import {PageCommand} from '../jobs/page_command.js';
import {DecisionLog} from '../logging/decision_log.js';
import {OwnedShard, OwnershipView} from '../ownership/ownership_view.js';
import {Inventory} from '../platform/inventory.js';
import {
  PlatformService,
  VmEntry,
  VmKind,
} from '../platform/platform_service.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  WorkerClient,
  WorkerReport,
  WorkerTaskState,
} from '../workers/worker_client.js';
import {describeJob, JobStatus} from './job_status.js';
import {JobWaiters} from './job_waiters.js';
import {PlatformBackoff} from './platform_backoff.js';
import {ShardCommand, ShardEvent} from './shard_command.js';
import {ShardController} from './shard_controller.js';

/** Options of {@link ShardDriver}. */
export interface ShardDriverOptions {
  owned: OwnedShard;
  controller: ShardController;
  ownership: Pick<OwnershipView, 'confirm'>;
  platform: PlatformService;
  platformBackoff: PlatformBackoff;
  inventory: Pick<Inventory, 'list' | 'readStartedMs'>;
  clientOf: (vm: VmEntry) => WorkerClient;
  /** Whether an operator planned to stop the VM and the start time has come. */
  isStopPlanned: (vm: string) => boolean;
  clock: Clock;
  logger: Logger;
  decisions: DecisionLog;
  /** Model of the interference between tasks; shared by all shards. */
  slowdowns: SlowdownModel;
  /** Interval in ms of the tick events. */
  tickMs: number;
  /** Called once another process is found to own the shard. */
  onSuperseded: () => void;
}

type CommandOf<T extends ShardCommand['type']> = Extract<
  ShardCommand,
  {type: T}
>;

/**
 * Connects the controller of one owned shard to its surroundings: executes its
 * commands against workers and platform, and feeds the results back as events.
 */
export class ShardDriver {
  private readonly acceptWaiters = new JobWaiters();
  private readonly endWaiters = new JobWaiters();
  private readonly vms = new Map<string, VmEntry>();
  private readonly acquiredAtMs: number;
  private lastListReadMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: ShardDriverOptions) {
    this.acquiredAtMs = performance.now();
  }

  /** Shard and epoch for which this driver was created. */
  get owned(): OwnedShard {
    return this.options.owned;
  }

  /** Scheduling logic of the shard. */
  get controller(): ShardController {
    return this.options.controller;
  }

  /** Number of requests that wait for the acceptance or end of a job. */
  get openRequests(): number {
    return this.acceptWaiters.size + this.endWaiters.size;
  }

  /** Starts the ticks, which drive the controller. */
  start(): void {
    this.timer = setInterval(() => this.tick(), this.options.tickMs);
    this.tick();
  }

  /** Stops the ticks; waiting requests fail with an unknown outcome. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.timer);
    const {shard} = this.options.owned;
    const text = `Cannot determine outcome: lost ownership of shard "${shard}"`;
    this.acceptWaiters.settleAll(
      new ResultError(ResultCodes.MAY_HAVE_BEEN_ACCEPTED, text),
    );
    this.endWaiters.settleAll(new ResultError(ResultCodes.ANSWER_LOST, text));
  }

  /** Returns the status of a job of this shard. */
  describe(jobId: string): JobStatus | undefined {
    const job = this.controller.job(jobId);
    return job && describeJob(job, this.owned.shard);
  }

  /**
   * Submits a job. Resolves once the job is stored or, if it is attached, once
   * it has ended. An attached job is cancelled at the time limit.
   *
   * @param job - Job to submit.
   * @param timeoutMs - Time limit in ms.
   */
  async submit(job: Job, timeoutMs: number): Promise<JobStatus> {
    const waiters = job.isAttached ? this.endWaiters : this.acceptWaiters;
    const done = waiters.wait(job.id, timeoutMs, () => {
      if (job.isAttached) this.handle({type: 'cancelled', jobId: job.id});
      return new ResultError(
        job.isAttached
          ? ResultCodes.TIMED_OUT
          : ResultCodes.MAY_HAVE_BEEN_ACCEPTED,
        `Cannot complete submission of job "${job.id}" within ${Math.round(timeoutMs)} ms`,
      );
    });
    this.handle({type: 'submitted', job});
    await done;
    return this.describe(job.id)!;
  }

  /** Cancels a job; resolves once all its tasks have ended. */
  async cancel(jobId: string, timeoutMs: number): Promise<JobStatus> {
    const done = this.endWaiters.wait(
      jobId,
      timeoutMs,
      () =>
        new ResultError(
          ResultCodes.TIMED_OUT,
          `Cannot confirm the end of job "${jobId}" within ${Math.round(timeoutMs)} ms`,
        ),
    );
    this.handle({type: 'cancelled', jobId});
    await done;
    return this.describe(jobId)!;
  }

  private tick(): void {
    const {inventory} = this.options;
    const isNewList =
      inventory.readStartedMs > this.acquiredAtMs &&
      inventory.readStartedMs > this.lastListReadMs;
    if (isNewList && this.controller.isReady) {
      this.lastListReadMs = inventory.readStartedMs;
      this.handle({type: 'workersListed', workers: this.listWorkers()});
    }
    this.handle({type: 'tick'});
  }

  private listWorkers(): Array<{worker: string; isLeaving: boolean}> {
    const {inventory, isStopPlanned, owned} = this.options;
    this.vms.clear();
    for (const entry of inventory.list()) {
      const isOwn = entry.kind === VmKind.WORKER && entry.shard === owned.shard;
      if (isOwn) this.vms.set(entry.vm, entry);
    }
    return [...this.vms.values()].map(({vm, state}) => ({
      worker: vm,
      isLeaving: state === 'leaving' || isStopPlanned(vm),
    }));
  }

  private handle(event: ShardEvent): void {
    if (this.isStopped) return;
    const nowMs = this.options.clock.nowMs();
    for (const command of this.controller.handle(event, nowMs)) {
      this.perform(command);
    }
  }

  private perform(command: ShardCommand): void {
    switch (command.type) {
      case 'command':
        void this.callWorker(command);
        break;
      case 'confirmOwnership':
        void this.confirmOwnership(command.requestId);
        break;
      case 'accepted':
        this.acceptWaiters.settle(command.jobId);
        break;
      case 'refused':
        this.rejectWaiters(command);
        break;
      case 'jobEnded':
        this.endWaiters.settle(command.jobId);
        break;
      case 'decided':
        this.logDecision(command);
        break;
      case 'superseded':
        this.options.logger.warn(
          {...this.owned, reason: command.reason},
          'lost ownership of shard',
        );
        this.options.onSuperseded();
        break;
      default:
        void this.callPlatform(command);
    }
  }

  private rejectWaiters({jobId, code, reason}: CommandOf<'refused'>): void {
    const error = new ResultError(
      code,
      `Cannot accept job "${jobId}": ${reason}`,
    );
    this.acceptWaiters.settle(jobId, error);
    this.endWaiters.settle(jobId, error);
  }

  private logDecision(command: CommandOf<'decided'>): void {
    const {kind, subject, chosen, reason, passedOver} = command;
    const facts = {...this.owned};
    this.options.decisions.record({
      kind,
      subject,
      chosen,
      reason,
      passedOver,
      facts,
    });
  }

  private async callWorker(command: CommandOf<'command'>): Promise<void> {
    const {commandId, worker} = command;
    const vm = this.vms.get(worker);
    try {
      if (!vm) {
        throw new ResultError(
          ResultCodes.NO_TARGET,
          `Cannot reach worker "${worker}": it is not in the VM list`,
        );
      }
      const report = await sendWorkerCommand(
        this.options.clientOf(vm),
        command,
      );
      if (command.operation.name === 'renew') this.observe(worker, report);
      this.handle({type: 'workerAnswered', commandId, report});
    } catch (error) {
      const wasSent = mayHaveRun(error);
      this.handle({type: 'workerFailed', commandId, wasSent});
    }
  }

  /** Adds the task speeds that a worker reports to the slowdown model. */
  private observe(worker: string, report: WorkerReport): void {
    if (report.refusal) return;
    const running = report.tasks.filter(
      ({state}) => state === WorkerTaskState.RUNNING,
    );
    this.options.slowdowns.observeWorker(worker, running);
  }

  private async confirmOwnership(requestId: number): Promise<void> {
    const {ownership, platformBackoff, owned} = this.options;
    let isOwner: boolean | undefined;
    try {
      if (platformBackoff.allowsCalls) isOwner = await ownership.confirm(owned);
    } catch {
      platformBackoff.recordFailure();
    }
    // Deferred, since the controller may still be handling an event.
    setImmediate(() =>
      this.handle({type: 'ownershipConfirmed', requestId, isOwner}),
    );
  }

  private async callPlatform(command: PageCommand): Promise<void> {
    const {platformBackoff} = this.options;
    if (!platformBackoff.allowsCalls) {
      const event = failureEventOf(command, false);
      if (event) setImmediate(() => this.handle(event));
      return;
    }
    try {
      const event = await this.executePageCommand(command);
      if (event) this.handle(event);
    } catch (error) {
      platformBackoff.recordFailure();
      const event = failureEventOf(command, mayHaveRun(error));
      if (event) this.handle(event);
    }
  }

  private async executePageCommand(
    command: PageCommand,
  ): Promise<ShardEvent | undefined> {
    const {platform} = this.options;
    switch (command.type) {
      case 'listPages': {
        const {entries} = await platform.list(command.prefix);
        return {type: 'pagesListed', entries};
      }
      case 'readPage': {
        const {key, writeId} = command;
        const entry = await platform.read(key);
        return {type: 'pageRead', key, writeId, entry};
      }
      case 'writePage': {
        const {key, writeId, value, expectedRevision} = command;
        const result = await platform.write({key, value, expectedRevision});
        return {type: 'pageWritten', key, writeId, result};
      }
      case 'deletePage':
        await platform.delete(command.key, command.expectedRevision);
        return undefined;
    }
  }
}

function sendWorkerCommand(
  client: WorkerClient,
  {context, operation}: CommandOf<'command'>,
): Promise<WorkerReport> {
  switch (operation.name) {
    case 'readBack':
      return client.readBack(context);
    case 'start':
      return client.start(context, operation.start);
    case 'renew':
      return client.renew(context, operation.leaseUntilMs);
    case 'checkpoint':
      return client.checkpoint(context, operation.taskId);
    case 'throttle':
      return client.throttle(context, operation);
    case 'stop':
      return client.stop(context, operation.taskId);
    case 'forget':
      return client.forget(context, operation.taskIds);
  }
}

function mayHaveRun(error: unknown): boolean {
  const isKnown = error instanceof ResultError;
  return !isKnown || error.code.outcome !== Outcome.DID_NOT_RUN;
}

function failureEventOf(
  command: PageCommand,
  wasSent: boolean,
): ShardEvent | undefined {
  switch (command.type) {
    case 'listPages':
      return {type: 'pagesListed', entries: undefined};
    case 'readPage': {
      const {key, writeId} = command;
      return {type: 'pageReadFailed', key, writeId};
    }
    case 'writePage': {
      const {key, writeId} = command;
      return {type: 'pageWriteFailed', key, writeId, wasSent};
    }
    case 'deletePage':
      return undefined;
  }
}
