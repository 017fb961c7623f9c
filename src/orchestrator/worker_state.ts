import {WorkerEntry} from '../work/worker_entry.js';
import {TaskState} from './task_state.js';
import {WorkerHealth} from './worker_health.js';

/** Slowest that a worker's clock may run, as a share of true time. */
const SLOWEST_CLOCK = 0.98;

/** Delay in ms of an answer that is not taken for a restart of the worker. */
const CLOCK_TOLERANCE_MS = 1500;

/** Part of its request that a task that serves uses on average. */
const SERVING_USE = 0.5;

/** A worker as the owner of the partition sees it. */
export class WorkerState {
  /** Life that answered last; undefined before the first answer. */
  bornMs: number | undefined;
  /** Time in ms of the latest answer to a look; -Infinity before. */
  lastReportMs = -Infinity;
  /** Time in ms after which no lease that was granted can still run. */
  leaseEndsMs = -Infinity;
  /** End that was processed last in this life. */
  processedEnd = 0;
  /** End up to which all are stored. */
  storedEnd = 0;
  /** End up to which the worker is known to have forgotten all. */
  private acknowledgedEnd = 0;
  /** Time in ms at which the pace was last changed. */
  paceChangedMs = -Infinity;
  /** A tail here is near its limit, so that reports should come often. */
  isNearLimit = false;
  readonly health = new WorkerHealth();
  /** Tasks that are or may be here. */
  readonly tasks = new Set<TaskState>();
  /** False once its registration is gone. */
  isRegistered = true;
  /** Time in ms at which it was first seen draining; Infinity if it is not. */
  drainingSinceMs = Infinity;
  /** Counts the lives that were seen. */
  life = 0;
  /** Rises with each change of its tasks and with each report. */
  version = 0;
  private usedMemoryMb = 0;
  private usedAccelerators = 0;
  private usedCpu = 0;
  private fillCpu = 0;
  private servingCpu = 0;
  private serving = 0;
  private clockMs = 0;
  private clockReadMs = -Infinity;

  constructor(public entry: WorkerEntry) {}

  /** Tells whether the worker has answered in this term. */
  get isKnown(): boolean {
    return this.bornMs !== undefined;
  }

  /** Rack of the worker, from its labels. */
  get rack(): string {
    return this.entry.labels[1] ?? '';
  }

  /** Takes a reading of the worker's clock. */
  readClock(clockMs: number, nowMs: number): void {
    this.clockMs = clockMs;
    this.clockReadMs = nowMs;
  }

  /** Returns the lease limit on the worker's clock for a lease from now on. */
  leaseLimit(nowMs: number, holdMs: number): number {
    return this.clockMs + (nowMs - this.clockReadMs) + holdMs;
  }

  /** Notes that a lease up to `leaseUntilMs` on the worker's clock was sent. */
  noteLease(leaseUntilMs: number): void {
    const endsMs =
      this.clockReadMs + (leaseUntilMs - this.clockMs) / SLOWEST_CLOCK;
    this.leaseEndsMs = Math.max(this.leaseEndsMs, endsMs);
  }

  /**
   * End to acknowledge with the next look; 0 if there is no new one. A worker
   * that has started again numbers its ends anew, so that an end that was
   * acknowledged before is not named again.
   */
  get endToAcknowledge(): number {
    return this.storedEnd > this.acknowledgedEnd ? this.storedEnd : 0;
  }

  /** Notes that a look acknowledged ends up to this one. */
  noteAcknowledged(end: number): void {
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, end);
  }

  /** Tells whether a reading of its clock shows that it has started again. */
  isEarlierClock(clockMs: number, nowMs: number): boolean {
    const expectedMs =
      this.clockMs + (nowMs - this.clockReadMs) * SLOWEST_CLOCK;
    return this.isKnown && clockMs < expectedMs - CLOCK_TOLERANCE_MS;
  }

  /**
   * Begins a new life of the worker, in which ends are numbered anew.
   *
   * @param bornMs - Start of the life; undefined until a report tells it.
   */
  beginLife(bornMs: number | undefined): void {
    this.bornMs = bornMs;
    this.life += 1;
    this.processedEnd = 0;
    this.storedEnd = 0;
    this.acknowledgedEnd = 0;
  }

  /** Adds a task that is or may be here. */
  place(task: TaskState): void {
    if (this.tasks.has(task)) return;
    this.tasks.add(task);
    this.account(task, 1);
  }

  /** Removes a task that is no longer here. */
  remove(task: TaskState): void {
    if (this.tasks.delete(task)) this.account(task, -1);
  }

  /** Memory in MB that no task here has requested. */
  get freeMemoryMb(): number {
    return this.entry.capacity.memoryMb - this.usedMemoryMb;
  }

  /** Accelerators that no task here has requested. */
  get freeAccelerators(): number {
    return this.entry.capacity.acceleratorCount - this.usedAccelerators;
  }

  /** Thousandths of a core not requested by tasks that count against them. */
  get freeCpu(): number {
    return this.entry.capacity.cpuMillicores - this.usedCpu;
  }

  /**
   * Thousandths of a core that tasks on leftover processors can expect beyond
   * what such tasks here request. Tasks that serve use a part of theirs.
   */
  get leftoverCpu(): number {
    const {cpuMillicores} = this.entry.capacity;
    const busy = this.usedCpu - this.servingCpu * (1 - SERVING_USE);
    return cpuMillicores - busy - this.fillCpu;
  }

  /** Number of tasks here that have a limit on their tail latency. */
  get servingCount(): number {
    return this.serving;
  }

  /** Number of tasks here that serve and run an image. */
  servingOf(image: string | undefined): number {
    let count = 0;
    for (const {step} of this.tasks) {
      if (step.tailTargetMs > 0 && step.image === image) count += 1;
    }
    return count;
  }

  private account(task: TaskState, sign: 1 | -1): void {
    this.version += 1;
    const {step} = task;
    this.usedMemoryMb += sign * step.memoryMb;
    this.usedAccelerators += sign * step.acceleratorCount;
    if (step.usesLeftoverCpu) this.fillCpu += sign * step.cpuMillicores;
    else this.usedCpu += sign * step.cpuMillicores;
    if (step.tailTargetMs > 0) {
      this.servingCpu += sign * step.cpuMillicores;
      this.serving += sign;
    }
  }
}
