import {Job, jobSchema} from '../src/jobs/job.js';
import {JobRecord, taskIdOf, TaskResult} from '../src/jobs/job_record.js';
import {PageCommand} from '../src/jobs/page_command.js';
import {WriteRateLimiter} from '../src/jobs/write_rate_limiter.js';
import {FirstFit} from '../src/placement/first_fit.js';
import {
  Placement,
  PlacementRequest,
} from '../src/placement/placement_request.js';
import {CommittedTask} from '../src/placement/placement_request.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {ShardController} from '../src/scheduler/shard_controller.js';
import {
  ShardCommand,
  ShardEvent,
  WorkerOperation,
} from '../src/scheduler/shard_command.js';
import {ShardTimings} from '../src/scheduler/shard_timings.js';
import {WorkerTask} from '../src/workers/worker_client.js';
import {SimulatedPlatform} from './simulated_platform.js';
import {SimulatedWorker} from './simulated_worker.js';

/** Options of {@link SimulatedShard}. */
export interface SimulatedShardOptions {
  /** Seed of all random faults, delays and jobs. */
  seed: number;
  /** Time in ms from the start during which faults and jobs are generated. */
  faultPeriodMs: number;
  /**
   * False disables fencing, to test that the simulation detects its absence:
   * workers then accept old epochs. @default true
   */
  checksEpoch?: boolean;
  /**
   * Overrides of the controller's timings, to test that the simulation detects
   * what a timing protects against. @default none
   */
  timings?: Partial<ShardTimings>;
}

/** A scheduler process, which may own the shard. */
interface Process {
  clockRate: number;
  clockOffsetMs: number;
  pausedUntilMs: number;
  /** Steps that wait until the process resumes from a pause. */
  backlog: Array<() => void>;
  owner: Owner | undefined;
}

/** One ownership of the shard by a process. */
interface Owner {
  controller: ShardController;
  process: Process;
  epoch: number;
  /** Commands without a response or reported failure. */
  pendingCommandIds: Set<number>;
  /** Tasks that worker reports showed to this owner as finished. */
  reportedFinished: Set<string>;
  /** Latest checkpoint of each task in worker reports to this owner. */
  reportedCheckpoints: Map<string, number>;
}

/** A step of the simulation that runs at a given time. */
interface ScheduledStep {
  atMs: number;
  /** Orders steps of the same time. */
  sequence: number;
  run: () => void;
}

const WORKER_CAPACITY = {processors: 4, memoryMegabytes: 4, accelerators: 0};
const PAGE_PREFIX = 'jobs/d/s/';
const TICK_MS = 600;
const CALL_TIMEOUT_MS = 1200;

/** First fit in which an urgent task may evict a large enough batch task. */
class EvictingFirstFit extends FirstFit {
  private readonly running = new Map<string, CommittedTask>();

  override commit(task: CommittedTask): void {
    super.commit(task);
    this.running.set(task.taskId, task);
  }

  override release(taskId: string): void {
    super.release(taskId);
    this.running.delete(taskId);
  }

  override place(request: PlacementRequest): Placement | undefined {
    const placement = super.place(request);
    if (placement || request.urgency !== 'urgent') return placement;
    for (const {taskId, worker, urgency, resources} of this.running.values()) {
      const isLarge = resources.processors >= request.resources.processors;
      if (urgency !== 'batch' || !isLarge) continue;
      return {worker, reason: 'evicts', victims: [taskId], passedOver: []};
    }
    return undefined;
  }
}

/**
 * Simulation of one shard with several scheduler processes, workers and the
 * platform in simulated time. Messages are lost, duplicated and delayed; owners
 * are paused, and replaced although they still work; workers restart, become
 * unreachable and disappear; the platform is unavailable or its responses are
 * lost. Violations of the guarantees about jobs and tasks are collected.
 */
export class SimulatedShard {
  /** Descriptions of violations; the first one ends the simulation. */
  readonly violations: string[] = [];
  /** Number of task starts on all workers. */
  starts = 0;
  /** Number of ownership changes. */
  takeovers = 0;
  /** Number of evictions decided by all owners. */
  evictions = 0;
  /** Jobs that an owner reported as accepted. */
  readonly accepted = new Set<string>();
  private readonly random: SeededRandom;
  private readonly platform = new SimulatedPlatform();
  private readonly processes: Process[] = [];
  private readonly workers: SimulatedWorker[] = [];
  /** Workers in the VM list of the platform. */
  private listedWorkers: string[] = [];
  /** Binary heap of steps by time. */
  private readonly pendingSteps: ScheduledStep[] = [];
  private readonly jobs: Job[] = [];
  private readonly startedTasks = new Set<string>();
  private readonly submissionCounts = new Map<string, number>();
  /** Tasks that the caller was told did not run and will not run. */
  private readonly reportedNotRun = new Set<string>();
  /** Tasks with a result in a stored page. */
  private readonly storedEnds = new Set<string>();
  /** Latest checkpoint of each task in stored pages. */
  private readonly storedCheckpoints = new Map<string, number>();
  private nowMs = 0;
  private nextSequence = 0;

  constructor(private readonly options: SimulatedShardOptions) {
    this.random = new SeededRandom(options.seed);
    for (let index = 0; index < 3; index++) {
      this.processes.push({
        clockRate: 0.99 + 0.02 * this.random.next(),
        clockOffsetMs: 1e6 * this.random.next(),
        pausedUntilMs: 0,
        backlog: [],
        owner: undefined,
      });
      this.addWorker();
    }
    this.listedWorkers = this.workers.map(({name}) => name);
  }

  /**
   * Runs the fault period and then `faultFreeMs` without faults. Afterwards all
   * accepted jobs must be stored and, if `faultFreeMs` is positive, have ended.
   */
  run(faultFreeMs: number): void {
    this.takeOver();
    this.schedule(300, () => this.injectRandomFault());
    this.schedule(200, () => this.generateLoad());
    this.runUntil(this.options.faultPeriodMs);
    this.platform.downUntilMs = 0;
    for (const worker of this.workers) worker.unreachableUntilMs = 0;
    for (const process of this.processes) process.pausedUntilMs = 0;
    if (faultFreeMs > 0) this.takeOver();
    this.runUntil(this.options.faultPeriodMs + faultFreeMs);
    this.checkAcceptedJobs(faultFreeMs > 0);
  }

  private get isFaultFree(): boolean {
    return this.nowMs >= this.options.faultPeriodMs;
  }

  private runUntil(endMs: number): void {
    while (this.pendingSteps.length > 0 && this.violations.length === 0) {
      const next = popStep(this.pendingSteps, endMs);
      if (!next) break;
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  private schedule(delayMs: number, run: () => void): void {
    const step = {
      atMs: this.nowMs + delayMs,
      sequence: this.nextSequence++,
      run,
    };
    pushStep(this.pendingSteps, step);
  }

  private chance(probability: number): boolean {
    return this.random.next() < probability;
  }

  private randomBetween(low: number, high: number): number {
    return low + (high - low) * this.random.next();
  }

  /**
   * Delivers a message. During the fault period it may be lost, delivered twice
   * or delayed.
   */
  private deliverUnreliably(run: () => void): void {
    if (!this.isFaultFree && this.chance(0.06)) return;
    const isDuplicated = !this.isFaultFree && this.chance(0.06);
    for (let copy = 0; copy < (isDuplicated ? 2 : 1); copy++) {
      const isDelayed = !this.isFaultFree && this.chance(0.05);
      this.schedule(
        isDelayed ? this.randomBetween(100, 20_000) : this.randomBetween(1, 20),
        run,
      );
    }
  }

  private injectRandomFault(): void {
    if (this.isFaultFree) return;
    const worker = this.workers[this.random.nextInteger(this.workers.length)]!;
    const process = this.processes[this.random.nextInteger(3)]!;
    const roll = this.random.next();
    if (roll < 0.25) this.takeOver();
    else if (roll < 0.45) {
      process.pausedUntilMs = this.nowMs + this.randomBetween(500, 25_000);
    } else if (roll < 0.55) worker.restart(this.nowMs);
    else if (roll < 0.7) {
      worker.unreachableUntilMs = this.nowMs + this.randomBetween(1000, 25_000);
    } else if (roll < 0.78) this.replaceWorker(worker);
    else if (roll < 0.9) {
      this.platform.downUntilMs = this.nowMs + this.randomBetween(500, 20_000);
    }
    this.schedule(this.randomBetween(500, 6000), () =>
      this.injectRandomFault(),
    );
  }

  private generateLoad(): void {
    if (this.isFaultFree) return;
    const {owner} = this.processes[this.platform.owner.process]!;
    const roll = this.random.next();
    const job = this.jobs[this.random.nextInteger(this.jobs.length + 1)];
    if (roll < 0.6 || !job) this.submit(this.newJob());
    else if (roll < 0.75) this.submit(job);
    else if (owner) this.handle(owner, {type: 'cancelled', jobId: job.id});
    this.schedule(this.randomBetween(200, 2500), () => this.generateLoad());
  }

  private newJob(): Job {
    const isUrgent = this.chance(0.4);
    const job = jobSchema.parse({
      id: `j${this.jobs.length}`,
      customer: `c${this.random.nextInteger(2)}`,
      kind: 'k',
      urgency: isUrgent ? 'urgent' : 'batch',
      resources: {
        processors: 1 + this.random.nextInteger(isUrgent ? 2 : 4),
        memoryMegabytes: 1,
      },
      count: this.chance(0.2) ? 2 : 1,
      payload: this.randomBetween(500, 12_000),
    });
    this.jobs.push(job);
    return job;
  }

  private submit(job: Job): void {
    const {owner} = this.processes[this.platform.owner.process]!;
    const wasReportedNotRun = [...taskIds(job)].some((id) =>
      this.reportedNotRun.has(id),
    );
    if (!owner || wasReportedNotRun) return;
    const submissionCount = this.submissionCounts.get(job.id) ?? 0;
    this.submissionCounts.set(job.id, submissionCount + 1);
    this.handle(owner, {type: 'submitted', job});
  }

  private addWorker(): void {
    const worker = new SimulatedWorker(
      `w${this.workers.length}`,
      WORKER_CAPACITY,
      {
        clockRate: 0.98 + 0.04 * this.random.next(),
        bootMs: -1e6 * this.random.next(),
        checksEpoch: this.options.checksEpoch ?? true,
      },
    );
    this.workers.push(worker);
  }

  private replaceWorker(worker: SimulatedWorker): void {
    if (worker.isDead) return;
    worker.restart(this.nowMs);
    worker.isDead = true;
    this.addWorker();
    this.schedule(this.randomBetween(500, 3000), () => {
      this.listedWorkers = this.workers
        .filter(({isDead}) => !isDead)
        .map(({name}) => name);
    });
  }

  /** Assigns the shard to a random process, even if the current owner works. */
  private takeOver(): void {
    if (this.platform.downUntilMs > this.nowMs) return;
    const epoch = this.platform.owner.epoch + 1;
    const index = this.random.nextInteger(3);
    this.platform.owner = {process: index, epoch};
    this.takeovers += 1;
    this.runOnProcess(this.processes[index]!, () =>
      this.becomeOwner(index, epoch),
    );
  }

  private becomeOwner(index: number, epoch: number): void {
    const process = this.processes[index]!;
    if ((process.owner?.epoch ?? 0) >= epoch) return;
    const controller = new ShardController({
      dataCentre: 'd',
      shard: 's',
      epoch,
      placement: new EvictingFirstFit(),
      budget: new WriteRateLimiter({writesPerSecond: 20}),
      random: this.random,
      wallMs: () => this.nowMs,
      timings: this.options.timings,
    });
    const owner: Owner = {
      controller,
      process,
      epoch,
      pendingCommandIds: new Set(),
      reportedFinished: new Set(),
      reportedCheckpoints: new Map(),
    };
    process.owner = owner;
    this.tick(owner);
    this.listVms(owner);
  }

  private tick(owner: Owner): void {
    if (owner.process.owner !== owner || owner.controller.isSuperseded) return;
    this.handle(owner, {type: 'tick'});
    this.schedule(TICK_MS, () => this.tick(owner));
  }

  private listVms(owner: Owner): void {
    if (owner.process.owner !== owner || owner.controller.isSuperseded) return;
    if (this.platform.downUntilMs <= this.nowMs) {
      const workers = this.listedWorkers.map((worker) => ({
        worker,
        isLeaving: false,
      }));
      this.handle(owner, {type: 'workersListed', workers});
    }
    this.schedule(this.randomBetween(500, 2000), () => this.listVms(owner));
  }

  /** Runs a step of a process; steps queue up in order during a pause. */
  private runOnProcess(process: Process, step: () => void): void {
    const isPaused = process.pausedUntilMs > this.nowMs;
    if (!isPaused && process.backlog.length === 0) {
      step();
      return;
    }
    process.backlog.push(step);
    if (process.backlog.length === 1) this.resumeLater(process);
  }

  private resumeLater(process: Process): void {
    const waitMs = Math.max(0, process.pausedUntilMs - this.nowMs);
    this.schedule(waitMs, () => {
      if (process.pausedUntilMs > this.nowMs) {
        this.resumeLater(process);
        return;
      }
      const steps = process.backlog;
      process.backlog = [];
      for (const step of steps) step();
    });
  }

  private handle(owner: Owner, event: ShardEvent): void {
    this.runOnProcess(owner.process, () => {
      // The process has acquired the shard again and dropped this controller.
      if (owner.process.owner !== owner) return;
      if (
        'commandId' in event &&
        owner.pendingCommandIds.delete(event.commandId)
      ) {
        // The owner ignores duplicate responses, so only the first one counts.
        if ('report' in event) this.recordReport(owner, event.report);
      }
      const {clockRate, clockOffsetMs} = owner.process;
      const processClockMs = this.nowMs * clockRate + clockOffsetMs;
      for (const command of owner.controller.handle(event, processClockMs)) {
        this.perform(owner, command);
      }
    });
  }

  private recordReport(owner: Owner, report: {tasks: WorkerTask[]}): void {
    for (const {taskId, state, checkpoint} of report.tasks) {
      if (state === 'finished') owner.reportedFinished.add(taskId);
      recordLatestCheckpoint(owner.reportedCheckpoints, taskId, checkpoint);
    }
  }

  private perform(owner: Owner, command: ShardCommand): void {
    switch (command.type) {
      case 'command':
        this.sendToWorker(owner, command);
        break;
      case 'confirmOwnership':
        this.callPlatform(
          owner,
          () => this.confirmOwnership(owner, command.requestId),
          {
            type: 'ownershipConfirmed',
            requestId: command.requestId,
            isOwner: undefined,
          },
        );
        break;
      case 'accepted':
        this.accepted.add(command.jobId);
        break;
      case 'refused':
        this.recordRefusal(command.jobId);
        break;
      case 'jobEnded':
        this.recordJobEnd(owner, command.jobId);
        break;
      case 'decided':
        if (command.kind === 'evict') this.evictions += 1;
        break;
      case 'superseded':
        break;
      default:
        this.performPageCommand(owner, command);
    }
  }

  private confirmOwnership(owner: Owner, requestId: number): ShardEvent {
    const isOwner = this.platform.owner.epoch === owner.epoch;
    return {type: 'ownershipConfirmed', requestId, isOwner};
  }

  private sendToWorker(
    owner: Owner,
    command: Extract<ShardCommand, {type: 'command'}>,
  ): void {
    const {commandId} = command;
    owner.pendingCommandIds.add(commandId);
    this.checkSentStart(owner, command.operation);
    const worker = this.workers.find(({name}) => name === command.worker)!;
    const isReachable = (): boolean =>
      !worker.isDead && worker.unreachableUntilMs <= this.nowMs;
    if (!isReachable() && this.chance(0.3)) {
      const event = {type: 'workerFailed', commandId, wasSent: false} as const;
      this.schedule(1, () => this.handle(owner, event));
      return;
    }
    this.deliverUnreliably(() => {
      if (!isReachable()) return;
      const report = worker.execute(command, this.nowMs, (task) =>
        this.checkExecutedStart(owner, worker, task),
      );
      this.deliverUnreliably(() =>
        this.handle(owner, {type: 'workerAnswered', commandId, report}),
      );
    });
    this.schedule(CALL_TIMEOUT_MS, () =>
      this.handle(owner, {type: 'workerFailed', commandId, wasSent: true}),
    );
  }

  /** Makes a platform call; `failure` is the event if there is no response. */
  private callPlatform(
    owner: Owner,
    effect: () => ShardEvent,
    failure: ShardEvent,
  ): void {
    let isFinished = false;
    const finish = (event: ShardEvent): void => {
      if (isFinished) return;
      isFinished = true;
      this.handle(owner, event);
    };
    if (this.platform.downUntilMs > this.nowMs) {
      const unsentFailure =
        'wasSent' in failure ? {...failure, wasSent: false} : failure;
      this.schedule(1, () => finish(unsentFailure));
      return;
    }
    this.deliverUnreliably(() => {
      if (this.platform.downUntilMs > this.nowMs) return;
      const event = effect();
      this.deliverUnreliably(() => finish(event));
    });
    this.schedule(CALL_TIMEOUT_MS, () => finish(failure));
  }

  private performPageCommand(owner: Owner, command: PageCommand): void {
    const {platform} = this;
    switch (command.type) {
      case 'listPages': {
        this.callPlatform(
          owner,
          () => ({type: 'pagesListed', entries: platform.list(command.prefix)}),
          {type: 'pagesListed', entries: undefined},
        );
        break;
      }
      case 'readPage': {
        const {key, writeId} = command;
        this.callPlatform(
          owner,
          () => ({type: 'pageRead', key, writeId, entry: platform.read(key)}),
          {type: 'pageReadFailed', key, writeId},
        );
        break;
      }
      case 'writePage': {
        const {key, writeId, value, expectedRevision} = command;
        this.callPlatform(
          owner,
          () => {
            const result = platform.write(key, value, expectedRevision);
            if (result.written) this.recordStoredPage(value);
            return {type: 'pageWritten', key, writeId, result};
          },
          {type: 'pageWriteFailed', key, writeId, wasSent: true},
        );
        break;
      }
      case 'deletePage':
        platform.write(command.key, undefined, command.expectedRevision);
    }
  }

  /**
   * Checks a start against the reports that the owner had when it sent it. What
   * the owner learns while the start is in transit does not count.
   */
  private checkSentStart(owner: Owner, operation: WorkerOperation): void {
    if (operation.name !== 'start') return;
    const {taskId, checkpoint} = operation.start;
    if (owner.reportedFinished.has(taskId)) {
      this.violations.push(`${taskId} was sent although known as finished`);
    }
    const latest = owner.reportedCheckpoints.get(taskId) ?? 0;
    if (Number(checkpoint ?? 0) < latest) {
      this.violations.push(
        `${taskId} was sent from checkpoint ${checkpoint}, not ${latest}`,
      );
    }
  }

  private recordStoredPage(value: string): void {
    const {jobs} = JSON.parse(value) as {jobs?: JobRecord[]};
    for (const {job, tasks} of jobs ?? []) {
      for (const [index, task] of tasks.entries()) {
        const taskId = taskIdOf(job.id, index);
        if (task.result) this.storedEnds.add(taskId);
        recordLatestCheckpoint(this.storedCheckpoints, taskId, task.checkpoint);
      }
    }
  }

  private recordRefusal(jobId: string): void {
    // An earlier submission of the same job may have been accepted.
    if (this.submissionCounts.get(jobId) !== 1) return;
    const job = this.jobs.find(({id}) => id === jobId)!;
    for (const taskId of taskIds(job)) {
      if (this.startedTasks.has(taskId)) {
        this.violations.push(`${taskId} was rejected as "did not run" but ran`);
      }
      this.reportedNotRun.add(taskId);
    }
  }

  private recordJobEnd(owner: Owner, jobId: string): void {
    const {tasks} = owner.controller.job(jobId)!;
    for (const {taskId, record} of tasks) {
      if (record.result !== TaskResult.CANCELLED_BEFORE_START) continue;
      this.reportedNotRun.add(taskId);
      if (this.startedTasks.has(taskId)) {
        this.violations.push(`${taskId} was cancelled before start but ran`);
      }
    }
  }

  private checkExecutedStart(
    owner: Owner,
    worker: SimulatedWorker,
    task: WorkerTask,
  ): void {
    const {taskId} = task;
    this.starts += 1;
    this.startedTasks.add(taskId);
    const report = (text: string): void => {
      this.violations.push(
        `${Math.round(this.nowMs)} ms: ${taskId} started on ${worker.name} by epoch ${owner.epoch}: ${text}`,
      );
    };
    let processorsUsed = 0;
    for (const other of this.workers) {
      other.advance(this.nowMs);
      for (const running of other.running()) {
        if (other === worker) processorsUsed += running.resources.processors;
        else if (running.taskId === taskId) report(`runs on ${other.name}`);
      }
    }
    if (processorsUsed > WORKER_CAPACITY.processors) report('over capacity');
    if (this.storedEnds.has(taskId)) report('result is stored');
    if (this.reportedNotRun.has(taskId)) report('reported as "did not run"');
    const resumedFrom = Number(task.checkpoint ?? 0);
    const latest = this.storedCheckpoints.get(taskId) ?? 0;
    if (resumedFrom < latest) report(`from ${resumedFrom}, not ${latest}`);
  }

  private checkAcceptedJobs(mustHaveEnded: boolean): void {
    if (this.violations.length > 0) return;
    const directory = this.platform.read(`${PAGE_PREFIX}directory`);
    if (!directory && this.accepted.size === 0) return;
    const {pages} = JSON.parse(directory!.value) as {pages: string[]};
    const records = new Map<string, JobRecord>();
    for (const id of pages) {
      const page = this.platform.read(PAGE_PREFIX + id);
      const content = JSON.parse(page!.value) as {jobs: JobRecord[]};
      for (const record of content.jobs) records.set(record.job.id, record);
    }
    for (const jobId of this.accepted) {
      const record = records.get(jobId);
      if (!record) this.violations.push(`${jobId} was accepted but is lost`);
      else if (mustHaveEnded && record.endedWallMs === undefined) {
        this.violations.push(
          `${jobId} has not ended; task states: ${this.describeTasks(jobId)}`,
        );
      }
    }
  }

  private describeTasks(jobId: string): string {
    const {owner} = this.processes[this.platform.owner.process]!;
    const tasks = owner?.controller.job(jobId)?.tasks ?? [];
    return tasks
      .map(({state, assignment: place}) => `${state} ${place?.worker}`)
      .join();
  }
}

function* taskIds(job: Job): Iterable<string> {
  for (let index = 0; index < job.count; index++) yield taskIdOf(job.id, index);
}

function recordLatestCheckpoint(
  checkpoints: Map<string, number>,
  taskId: string,
  checkpoint: string | undefined,
): void {
  const progress = Number(checkpoint ?? 0);
  checkpoints.set(taskId, Math.max(checkpoints.get(taskId) ?? 0, progress));
}

function isBefore(a: ScheduledStep, b: ScheduledStep): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

function pushStep(heap: ScheduledStep[], step: ScheduledStep): void {
  let index = heap.push(step) - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(step, heap[parent]!)) break;
    heap[index] = heap[parent]!;
    index = parent;
  }
  heap[index] = step;
}

function popStep(
  heap: ScheduledStep[],
  endMs: number,
): ScheduledStep | undefined {
  const top = heap[0];
  if (!top || top.atMs > endMs) return undefined;
  const last = heap.pop()!;
  if (heap.length === 0) return top;
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right && isBefore(right, heap[child]!)) child += 1;
    if (!isBefore(heap[child]!, last)) break;
    heap[index] = heap[child]!;
    index = child;
  }
  heap[index] = last;
  return top;
}
