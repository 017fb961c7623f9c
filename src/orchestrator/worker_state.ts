import {WorkerRegistration} from '../work/worker_registration.js';
import {TaskState} from './task_state.js';
import {WorkerHealth} from './worker_health.js';

/** Slowest that a worker's clock may run, as a share of true time. */
const MIN_CLOCK_RATE = 0.98;

/** Delay in ms of an answer that is not taken for a restart of the worker. */
const CLOCK_TOLERANCE_MS = 1500;

/** Part of its request that a task that serves uses on average. */
const LATENCY_CRITICAL_UTILIZATION = 0.5;

/** A worker as the owner of the partition sees it. */
export class WorkerState {
  /** Life that answered last; undefined before the first answer. */
  bornMs: number | undefined;
  /** Time in ms of the latest answer to a look; -Infinity before. */
  lastReportMs = -Infinity;
  /** Time in ms after which no lease that was granted can still run. */
  leaseEndsMs = -Infinity;
  /** End that was processed last in this life. */
  processedSequence = 0;
  /** End up to which all are stored. */
  storedSequence = 0;
  /** End up to which the worker is known to have forgotten all. */
  private acknowledgedSequence = 0;
  /** Time in ms at which the pace was last changed. */
  speedLimitChangedMs = -Infinity;
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
  incarnation = 0;
  /** Rises with each change of its tasks and with each report. */
  version = 0;
  private usedMemoryMb = 0;
  private usedAccelerators = 0;
  private usedCpu = 0;
  private bestEffortCpu = 0;
  private latencyCriticalCpu = 0;
  private latencyCriticalTasks = 0;
  private clockMs = 0;
  private clockReadMs = -Infinity;

  constructor(public registration: WorkerRegistration) {}

  /** Tells whether the worker has answered in this term. */
  get hasReported(): boolean {
    return this.bornMs !== undefined;
  }

  /** Rack of the worker, from its labels. */
  get rack(): string {
    return this.registration.labels[1] ?? '';
  }

  /** Takes a reading of the worker's clock. */
  recordClock(clockMs: number, nowMs: number): void {
    this.clockMs = clockMs;
    this.clockReadMs = nowMs;
  }

  /** Returns the lease limit on the worker's clock for a lease from now on. */
  leaseLimit(nowMs: number, holdMs: number): number {
    return this.clockMs + (nowMs - this.clockReadMs) + holdMs;
  }

  /** Notes that a lease up to `leaseUntilMs` on the worker's clock was sent. */
  recordLease(leaseUntilMs: number): void {
    const endsMs =
      this.clockReadMs + (leaseUntilMs - this.clockMs) / MIN_CLOCK_RATE;
    this.leaseEndsMs = Math.max(this.leaseEndsMs, endsMs);
  }

  /**
   * End to acknowledge with the next look; 0 if there is no new one. A worker
   * that has started again numbers its ends anew, so that an end that was
   * acknowledged before is not named again.
   */
  get sequenceToAcknowledge(): number {
    return this.storedSequence > this.acknowledgedSequence
      ? this.storedSequence
      : 0;
  }

  /** Notes that a look acknowledged ends up to this one. */
  recordAcknowledged(sequence: number): void {
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, sequence);
  }

  /** Tells whether a reading of its clock shows that it has started again. */
  isClockReset(clockMs: number, nowMs: number): boolean {
    const expectedMs =
      this.clockMs + (nowMs - this.clockReadMs) * MIN_CLOCK_RATE;
    return this.hasReported && clockMs < expectedMs - CLOCK_TOLERANCE_MS;
  }

  /**
   * Begins a new life of the worker, in which ends are numbered anew.
   *
   * @param bornMs - Start of the life; undefined until a report tells it.
   */
  beginIncarnation(bornMs: number | undefined): void {
    this.bornMs = bornMs;
    this.incarnation += 1;
    this.processedSequence = 0;
    this.storedSequence = 0;
    this.acknowledgedSequence = 0;
  }

  /** Adds a task that is or may be here. */
  addTask(task: TaskState): void {
    if (this.tasks.has(task)) return;
    this.tasks.add(task);
    this.updateUsage(task, 1);
  }

  /** Removes a task that is no longer here. */
  removeTask(task: TaskState): void {
    if (this.tasks.delete(task)) this.updateUsage(task, -1);
  }

  /** Memory in MB that no task here has requested. */
  get freeMemoryMb(): number {
    return this.registration.capacity.memoryMb - this.usedMemoryMb;
  }

  /** Accelerators that no task here has requested. */
  get freeAccelerators(): number {
    return this.registration.capacity.acceleratorCount - this.usedAccelerators;
  }

  /** Thousandths of a core not requested by tasks that count against them. */
  get freeCpu(): number {
    return this.registration.capacity.cpuMillicores - this.usedCpu;
  }

  /**
   * Thousandths of a core that tasks on leftover processors can expect beyond
   * what such tasks here request. Tasks that serve use a part of theirs.
   */
  get leftoverCpu(): number {
    const {cpuMillicores} = this.registration.capacity;
    const busy =
      this.usedCpu -
      this.latencyCriticalCpu * (1 - LATENCY_CRITICAL_UTILIZATION);
    return cpuMillicores - busy - this.bestEffortCpu;
  }

  /** Number of tasks here that have a limit on their tail latency. */
  get latencyCriticalCount(): number {
    return this.latencyCriticalTasks;
  }

  /** Number of tasks here that serve and run an image. */
  countLatencyCritical(image: string | undefined): number {
    let count = 0;
    for (const {step} of this.tasks) {
      if (step.tailTargetMs > 0 && step.image === image) count += 1;
    }
    return count;
  }

  private updateUsage(task: TaskState, sign: 1 | -1): void {
    this.version += 1;
    const {step} = task;
    this.usedMemoryMb += sign * step.memoryMb;
    this.usedAccelerators += sign * step.acceleratorCount;
    if (step.usesLeftoverCpu) this.bestEffortCpu += sign * step.cpuMillicores;
    else this.usedCpu += sign * step.cpuMillicores;
    if (step.tailTargetMs > 0) {
      this.latencyCriticalCpu += sign * step.cpuMillicores;
      this.latencyCriticalTasks += sign;
    }
  }
}
