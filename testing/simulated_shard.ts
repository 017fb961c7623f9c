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
  seed: number;
  /** Time in ms during which faults occur. */
  faultyMs: number;
  /** False shows what happens without fencing. @default true */
  checksEpoch?: boolean;
  /** Changed timings, to show what a rule is for. @default none */
  timings?: Partial<ShardTimings>;
}

interface Process {
  clockRate: number;
  clockOffsetMs: number;
  pausedUntilMs: number;
  backlog: Array<() => void>;
  owner: Owner | undefined;
}

interface Owner {
  controller: ShardController;
  process: Process;
  epoch: number;
  /** Commands without an answer or failure. */
  awaited: Set<number>;
  knownFinished: Set<string>;
  knownCheckpoint: Map<string, number>;
}

interface Timed {
  atMs: number;
  order: number;
  run: () => void;
}

const CAPACITY = {processors: 4, memoryMegabytes: 4, accelerators: 0};
const PREFIX = 'jobs/d/s/';
const TICK_MS = 600;
const CALL_TIMEOUT_MS = 1200;

/** First fit that lets urgent work displace a task that is large enough. */
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
 * Several owners, workers and the platform of one shard as pure state with
 * simulated time. Messages are lost, doubled and late; owners pause and are
 * replaced without need; workers restart, go silent and disappear; the
 * platform is down or loses answers. Breaches of promises are collected.
 */
export class SimulatedShard {
  readonly breaches: string[] = [];
  starts = 0;
  takeovers = 0;
  evictions = 0;
  readonly accepted = new Set<string>();
  private readonly random: SeededRandom;
  private readonly platform = new SimulatedPlatform();
  private readonly processes: Process[] = [];
  private readonly workers: SimulatedWorker[] = [];
  private visible: string[] = [];
  private readonly agenda: Timed[] = [];
  private readonly jobs: Job[] = [];
  private readonly everRan = new Set<string>();
  private readonly submissions = new Map<string, number>();
  private readonly toldDidNotRun = new Set<string>();
  private readonly storedEnd = new Set<string>();
  private readonly storedCheckpoint = new Map<string, number>();
  private nowMs = 0;
  private order = 0;

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
    this.visible = this.workers.map(({name}) => name);
  }

  /** Runs the faulty time and then, without faults, up to `calmMs` more. */
  run(calmMs: number): void {
    this.takeOver();
    this.later(300, () => this.disturb());
    this.later(200, () => this.load());
    this.runUntil(this.options.faultyMs);
    this.platform.downUntilMs = 0;
    for (const worker of this.workers) worker.unreachableUntilMs = 0;
    for (const process of this.processes) process.pausedUntilMs = 0;
    if (calmMs > 0) this.takeOver();
    this.runUntil(this.options.faultyMs + calmMs);
    this.checkAccepted(calmMs > 0);
  }

  private get isCalm(): boolean {
    return this.nowMs >= this.options.faultyMs;
  }

  private runUntil(endMs: number): void {
    while (this.agenda.length > 0 && this.breaches.length === 0) {
      const next = popTimed(this.agenda, endMs);
      if (!next) break;
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  private later(delayMs: number, run: () => void): void {
    const timed = {atMs: this.nowMs + delayMs, order: this.order++, run};
    pushTimed(this.agenda, timed);
  }

  private chance(share: number): boolean {
    return this.random.next() < share;
  }

  private between(low: number, high: number): number {
    return low + (high - low) * this.random.next();
  }

  /** Delivers a message never, once or twice, mostly soon. */
  private deliver(run: () => void): void {
    if (!this.isCalm && this.chance(0.06)) return;
    const isDoubled = !this.isCalm && this.chance(0.06);
    for (let copy = 0; copy < (isDoubled ? 2 : 1); copy++) {
      const isLate = !this.isCalm && this.chance(0.05);
      this.later(isLate ? this.between(100, 20_000) : this.between(1, 20), run);
    }
  }

  private disturb(): void {
    if (this.isCalm) return;
    const victim = this.workers[this.random.nextInteger(this.workers.length)]!;
    const process = this.processes[this.random.nextInteger(3)]!;
    const dice = this.random.next();
    if (dice < 0.25) this.takeOver();
    else if (dice < 0.45) {
      process.pausedUntilMs = this.nowMs + this.between(500, 25_000);
    } else if (dice < 0.55) victim.restart(this.nowMs);
    else if (dice < 0.7) {
      victim.unreachableUntilMs = this.nowMs + this.between(1000, 25_000);
    } else if (dice < 0.78) this.replaceWorker(victim);
    else if (dice < 0.9) {
      this.platform.downUntilMs = this.nowMs + this.between(500, 20_000);
    }
    this.later(this.between(500, 6000), () => this.disturb());
  }

  private load(): void {
    if (this.isCalm) return;
    const {owner} = this.processes[this.platform.owner.process]!;
    const dice = this.random.next();
    const old = this.jobs[this.random.nextInteger(this.jobs.length + 1)];
    if (dice < 0.6 || !old) this.submit(this.newJob());
    else if (dice < 0.75) this.submit(old);
    else if (owner) this.handle(owner, {type: 'cancelled', jobId: old.id});
    this.later(this.between(200, 2500), () => this.load());
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
      payload: this.between(500, 12_000),
    });
    this.jobs.push(job);
    return job;
  }

  private submit(job: Job): void {
    const {owner} = this.processes[this.platform.owner.process]!;
    const isRefused = [...taskIds(job)].some((id) =>
      this.toldDidNotRun.has(id),
    );
    if (!owner || isRefused) return;
    const submissions = this.submissions.get(job.id) ?? 0;
    this.submissions.set(job.id, submissions + 1);
    this.handle(owner, {type: 'submitted', job});
  }

  private addWorker(): void {
    const worker = new SimulatedWorker(`w${this.workers.length}`, CAPACITY, {
      clockRate: 0.98 + 0.04 * this.random.next(),
      bootMs: -1e6 * this.random.next(),
      checksEpoch: this.options.checksEpoch ?? true,
    });
    this.workers.push(worker);
  }

  private replaceWorker(worker: SimulatedWorker): void {
    if (worker.isDead) return;
    worker.restart(this.nowMs);
    worker.isDead = true;
    this.addWorker();
    this.later(this.between(500, 3000), () => {
      this.visible = this.workers
        .filter(({isDead}) => !isDead)
        .map(({name}) => name);
    });
  }

  /** Gives the shard to a process, whether the current owner works or not. */
  private takeOver(): void {
    if (this.platform.downUntilMs > this.nowMs) return;
    const epoch = this.platform.owner.epoch + 1;
    const index = this.random.nextInteger(3);
    this.platform.owner = {process: index, epoch};
    this.takeovers += 1;
    this.onProcess(this.processes[index]!, () =>
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
      awaited: new Set(),
      knownFinished: new Set(),
      knownCheckpoint: new Map(),
    };
    process.owner = owner;
    this.tick(owner);
    this.listVms(owner);
  }

  private tick(owner: Owner): void {
    if (owner.process.owner !== owner || owner.controller.isSuperseded) return;
    this.handle(owner, {type: 'tick'});
    this.later(TICK_MS, () => this.tick(owner));
  }

  private listVms(owner: Owner): void {
    if (owner.process.owner !== owner || owner.controller.isSuperseded) return;
    if (this.platform.downUntilMs <= this.nowMs) {
      const workers = this.visible.map((worker) => ({
        worker,
        isLeaving: false,
      }));
      this.handle(owner, {type: 'workersListed', workers});
    }
    this.later(this.between(500, 2000), () => this.listVms(owner));
  }

  /** Runs a step of a process, after the pause and in order if it pauses. */
  private onProcess(process: Process, step: () => void): void {
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
    this.later(waitMs, () => {
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
    this.onProcess(owner.process, () => {
      // A process that took the shard again has dropped its former ownership.
      if (owner.process.owner !== owner) return;
      if ('commandId' in event && owner.awaited.delete(event.commandId)) {
        // Later answers to the same command are unknown to the owner.
        if ('report' in event) this.noteReport(owner, event.report);
      }
      const {clockRate, clockOffsetMs} = owner.process;
      const ownMs = this.nowMs * clockRate + clockOffsetMs;
      for (const command of owner.controller.handle(event, ownMs)) {
        this.perform(owner, command);
      }
    });
  }

  private noteReport(owner: Owner, report: {tasks: WorkerTask[]}): void {
    for (const {taskId, state, checkpoint} of report.tasks) {
      if (state === 'finished') owner.knownFinished.add(taskId);
      raise(owner.knownCheckpoint, taskId, checkpoint);
    }
  }

  private perform(owner: Owner, command: ShardCommand): void {
    switch (command.type) {
      case 'command':
        this.performOnWorker(owner, command);
        break;
      case 'confirmOwnership':
        this.call(owner, () => this.confirm(owner, command.requestId), {
          type: 'ownershipConfirmed',
          requestId: command.requestId,
          isOwner: undefined,
        });
        break;
      case 'accepted':
        this.accepted.add(command.jobId);
        break;
      case 'refused':
        this.noteRefused(command.jobId);
        break;
      case 'jobEnded':
        this.noteEnded(owner, command.jobId);
        break;
      case 'decided':
        if (command.kind === 'evict') this.evictions += 1;
        break;
      case 'superseded':
        break;
      default:
        this.performPage(owner, command);
    }
  }

  private confirm(owner: Owner, requestId: number): ShardEvent {
    const isOwner = this.platform.owner.epoch === owner.epoch;
    return {type: 'ownershipConfirmed', requestId, isOwner};
  }

  private performOnWorker(
    owner: Owner,
    command: Extract<ShardCommand, {type: 'command'}>,
  ): void {
    const {commandId} = command;
    owner.awaited.add(commandId);
    this.checkSent(owner, command.operation);
    const worker = this.workers.find(({name}) => name === command.worker)!;
    const isReachable = (): boolean =>
      !worker.isDead && worker.unreachableUntilMs <= this.nowMs;
    if (!isReachable() && this.chance(0.3)) {
      const event = {type: 'workerFailed', commandId, wasSent: false} as const;
      this.later(1, () => this.handle(owner, event));
      return;
    }
    this.deliver(() => {
      if (!isReachable()) return;
      const report = worker.execute(command, this.nowMs, (task) =>
        this.onStart(owner, worker, task),
      );
      this.deliver(() =>
        this.handle(owner, {type: 'workerAnswered', commandId, report}),
      );
    });
    this.later(CALL_TIMEOUT_MS, () =>
      this.handle(owner, {type: 'workerFailed', commandId, wasSent: true}),
    );
  }

  /** Makes one platform call; `failure` is the event if no answer comes. */
  private call(
    owner: Owner,
    effect: () => ShardEvent,
    failure: ShardEvent,
  ): void {
    let isOver = false;
    const finish = (event: ShardEvent): void => {
      if (isOver) return;
      isOver = true;
      this.handle(owner, event);
    };
    if (this.platform.downUntilMs > this.nowMs) {
      const unsent =
        'wasSent' in failure ? {...failure, wasSent: false} : failure;
      this.later(1, () => finish(unsent));
      return;
    }
    this.deliver(() => {
      if (this.platform.downUntilMs > this.nowMs) return;
      const event = effect();
      this.deliver(() => finish(event));
    });
    this.later(CALL_TIMEOUT_MS, () => finish(failure));
  }

  private performPage(owner: Owner, command: PageCommand): void {
    const {platform} = this;
    switch (command.type) {
      case 'listPages': {
        this.call(
          owner,
          () => ({type: 'pagesListed', entries: platform.list(command.prefix)}),
          {type: 'pagesListed', entries: undefined},
        );
        break;
      }
      case 'readPage': {
        const {key, writeId} = command;
        this.call(
          owner,
          () => ({type: 'pageRead', key, writeId, entry: platform.read(key)}),
          {type: 'pageReadFailed', key, writeId},
        );
        break;
      }
      case 'writePage': {
        const {key, writeId, value, expectedRevision} = command;
        this.call(
          owner,
          () => {
            const result = platform.write(key, value, expectedRevision);
            if (result.written) this.noteStored(value);
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

  /** What the owner knew when it sent a start, which may arrive later. */
  private checkSent(owner: Owner, operation: WorkerOperation): void {
    if (operation.name !== 'start') return;
    const {taskId, checkpoint} = operation.start;
    if (owner.knownFinished.has(taskId)) {
      this.breaches.push(`${taskId} was sent and is known as finished`);
    }
    const latest = owner.knownCheckpoint.get(taskId) ?? 0;
    if (Number(checkpoint ?? 0) < latest) {
      this.breaches.push(
        `${taskId} was sent from ${checkpoint}, not ${latest}`,
      );
    }
  }

  private noteStored(value: string): void {
    const {jobs} = JSON.parse(value) as {jobs?: JobRecord[]};
    for (const {job, tasks} of jobs ?? []) {
      for (const [index, task] of tasks.entries()) {
        const taskId = taskIdOf(job.id, index);
        if (task.result) this.storedEnd.add(taskId);
        raise(this.storedCheckpoint, taskId, task.checkpoint);
      }
    }
  }

  private noteRefused(jobId: string): void {
    // An earlier submission of the same job may have been accepted.
    if (this.submissions.get(jobId) !== 1) return;
    const job = this.jobs.find(({id}) => id === jobId)!;
    for (const taskId of taskIds(job)) {
      if (this.everRan.has(taskId)) {
        this.breaches.push(`${taskId} was refused as "did not run" and ran`);
      }
      this.toldDidNotRun.add(taskId);
    }
  }

  private noteEnded(owner: Owner, jobId: string): void {
    const {tasks} = owner.controller.job(jobId)!;
    for (const {taskId, record} of tasks) {
      if (record.result !== TaskResult.CANCELLED_BEFORE_START) continue;
      this.toldDidNotRun.add(taskId);
      if (this.everRan.has(taskId)) {
        this.breaches.push(`${taskId} was cancelled before start and ran`);
      }
    }
  }

  private onStart(
    owner: Owner,
    worker: SimulatedWorker,
    task: WorkerTask,
  ): void {
    const {taskId} = task;
    this.starts += 1;
    this.everRan.add(taskId);
    const breach = (text: string): void => {
      this.breaches.push(
        `${Math.round(this.nowMs)} ms: ${taskId} started on ${worker.name} by epoch ${owner.epoch}: ${text}`,
      );
    };
    let used = 0;
    for (const other of this.workers) {
      other.advance(this.nowMs);
      for (const running of other.running()) {
        if (other === worker) used += running.resources.processors;
        else if (running.taskId === taskId) breach(`runs on ${other.name}`);
      }
    }
    if (used > CAPACITY.processors) breach('over capacity');
    if (this.storedEnd.has(taskId)) breach('its end is stored');
    if (this.toldDidNotRun.has(taskId)) breach('told "did not run"');
    const resumedFrom = Number(task.checkpoint ?? 0);
    const latest = this.storedCheckpoint.get(taskId) ?? 0;
    if (resumedFrom < latest) breach(`from ${resumedFrom}, not ${latest}`);
  }

  private checkAccepted(mustEnd: boolean): void {
    if (this.breaches.length > 0) return;
    const directory = this.platform.read(`${PREFIX}directory`);
    if (!directory && this.accepted.size === 0) return;
    const {pages} = JSON.parse(directory!.value) as {pages: string[]};
    const stored = new Map<string, JobRecord>();
    for (const id of pages) {
      const page = this.platform.read(PREFIX + id);
      const content = JSON.parse(page!.value) as {jobs: JobRecord[]};
      for (const record of content.jobs) stored.set(record.job.id, record);
    }
    for (const jobId of this.accepted) {
      const record = stored.get(jobId);
      if (!record) this.breaches.push(`${jobId} was accepted and is lost`);
      else if (mustEnd && record.endedWallMs === undefined) {
        this.breaches.push(`${jobId} has not ended: ${this.describe(jobId)}`);
      }
    }
  }

  private describe(jobId: string): string {
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

function raise(
  checkpoints: Map<string, number>,
  taskId: string,
  checkpoint: string | undefined,
): void {
  const progress = Number(checkpoint ?? 0);
  checkpoints.set(taskId, Math.max(checkpoints.get(taskId) ?? 0, progress));
}

function isBefore(a: Timed, b: Timed): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

function pushTimed(heap: Timed[], timed: Timed): void {
  let at = heap.push(timed) - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (!isBefore(timed, heap[parent]!)) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = timed;
}

function popTimed(heap: Timed[], endMs: number): Timed | undefined {
  const top = heap[0];
  if (!top || top.atMs > endMs) return undefined;
  const last = heap.pop()!;
  if (heap.length === 0) return top;
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right && isBefore(right, heap[child]!)) child += 1;
    if (!isBefore(heap[child]!, last)) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = last;
  return top;
}
