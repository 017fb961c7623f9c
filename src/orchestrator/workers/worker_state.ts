import {StepDefinition} from '../../work/job_definition.js';
import {WorkerRegistration} from '../../work/worker_registration.js';
import {HeldRoom} from '../placement/held_rooms.js';
import {RunState} from '../runs/run_life_cycle.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerClock} from './worker_clock.js';
import {WorkerHealth} from './worker_health.js';

/** Maximum number of tasks named in one log line. */
const LOGGED_TASKS = 32;

/** Average fraction of its CPU request that a latency-critical task uses. */
const LATENCY_CRITICAL_UTILIZATION = 0.5;

/** State of a worker as tracked by the owner of the partition. */
export class WorkerState {
  /** Start time of the last incarnation that reported, if known. */
  bornMs: number | undefined;
  /** Time in ms at which the latest report was written; else -Infinity. */
  lastReportMs = -Infinity;
  /** Time in ms after which every lease that was granted has expired. */
  leaseEndsMs = -Infinity;
  /** Sequence number of the last end processed in this incarnation. */
  processedSequence = 0;
  /** Sequence number up to which all ends are stored. */
  storedSequence = 0;
  /** Sequence number up to which the worker has discarded its ends. */
  private acknowledgedSequence = 0;
  /** Time in ms at which a speed limit was last changed. */
  speedLimitChangedMs = -Infinity;
  /** Whether a tail latency is near its limit, which calls for faster polls. */
  isNearLimit = false;
  readonly health = new WorkerHealth();
  private readonly clock = new WorkerClock();
  /** Tasks that are or may be active on this worker. */
  readonly tasks = new Set<TaskState>();
  /** Tasks on this worker that may crash it. */
  readonly suspects = new Set<TaskState>();
  /** False once the registration was removed. */
  isRegistered = true;
  /**
   * Time in ms at which draining was first reported; Infinity if not draining.
   */
  drainingSinceMs = Infinity;
  /** Time in ms since which the worker does not answer, or Infinity. */
  lostMs = Infinity;
  /** False if it was silent, so that it may have been lost before. */
  isLossTimeKnown = true;
  /** Whether another incarnation has answered at its address. */
  hasEnded = false;
  /** Whether the loss of its present incarnation has been counted. */
  isCrashCounted = false;
  /** Number of incarnations observed so far. */
  incarnation = 0;
  /** Incremented with each change of its tasks and each report. */
  version = 0;
  /** Steps of the runs on this worker that belong to no task. */
  private orphanSteps: readonly StepDefinition[] = [];
  /** Whether it runs something of which the request is not known. */
  hasUnknownRuns = false;
  private isInEvacuation = false;
  private held: HeldRoom | undefined;
  /** Time in ms of the latest assignment of a task. */
  lastStartMs = -Infinity;
  private reservation: {task: TaskState; untilMs: number} | undefined;
  private usedMemoryMb = 0;
  private usedAccelerators = 0;
  private usedCpu = 0;
  private bestEffortCpu = 0;
  private latencyCriticalCpu = 0;
  private latencyCriticalTasks = 0;
  private largestCpuMillicores = 0;

  constructor(private currentRegistration: WorkerRegistration) {
    this.register(currentRegistration);
  }

  /** Latest registration. */
  get registration(): WorkerRegistration {
    return this.currentRegistration;
  }

  /** Replaces the registration, for example when the capacity has changed. */
  register(registration: WorkerRegistration): void {
    this.currentRegistration = registration;
    const {cpuMillicores} = registration.capacity;
    this.largestCpuMillicores = Math.max(
      this.largestCpuMillicores,
      cpuMillicores,
    );
    this.version += 1;
  }

  /** Room that is kept for a task that waits, if any. */
  get heldRoom(): HeldRoom | undefined {
    return this.held;
  }

  set heldRoom(heldRoom: HeldRoom | undefined) {
    this.held = heldRoom;
    this.version += 1;
  }

  /** Whether an operator has asked to give its data centre no new work. */
  get isEvacuated(): boolean {
    return this.isInEvacuation;
  }

  set isEvacuated(isEvacuated: boolean) {
    if (this.isInEvacuation === isEvacuated) return;
    this.isInEvacuation = isEvacuated;
    this.version += 1;
  }

  /**
   * CPU in millicores of the machine: the largest capacity that this
   * incarnation has shown, at least 1. Interference depends on the machine, also
   * while a smaller part of it is available to tasks.
   */
  get machineCpu(): number {
    return Math.max(1, this.largestCpuMillicores);
  }

  /**
   * Returns the task on this worker that may crash it and has not run long
   * enough to rule that out, if there is one.
   */
  unprovenSuspect(): TaskState | undefined {
    for (const task of this.suspects) {
      if (task.isSuspect && !task.isProven) return task;
    }
    return undefined;
  }

  /** Whether a further suspect may start here beside those not proven yet. */
  get mayShareSuspicion(): boolean {
    for (const task of this.suspects) {
      const isUnproven = task.isSuspect && !task.isProven;
      if (isUnproven && !task.mayShareSuspicion) return false;
    }
    return true;
  }

  /** Returns the suspect for which no other task is placed here, if any. */
  reservedFor(nowMs: number): TaskState | undefined {
    const {task, untilMs} = this.reservation ?? {untilMs: -Infinity};
    if (!task || nowMs >= untilMs) return undefined;
    return task.state === 'waiting' && !task.job.isFinal ? task : undefined;
  }

  /** Whether it is kept free of other starts for a suspect. */
  isReserved(nowMs: number): boolean {
    return this.reservedFor(nowMs) !== undefined;
  }

  /** Keeps other tasks from being placed here until a time in ms. */
  reserveFor(task: TaskState, untilMs: number): void {
    this.reservation = {task, untilMs};
  }

  /** Whether a start was sent that may still take effect or has, unseen. */
  get hasStartInDoubt(): boolean {
    for (const {hasBegun, state} of this.tasks) {
      if (!hasBegun && isSentState(state)) return true;
    }
    return false;
  }

  /** Records that a task on this worker may crash it. */
  addSuspect(task: TaskState): void {
    if (this.tasks.has(task)) this.suspects.add(task);
  }

  /** Whether the worker did not answer the latest poll. */
  get isSilent(): boolean {
    return this.lostMs !== Infinity;
  }

  /** Whether the current incarnation has reported in this term. */
  get hasReported(): boolean {
    return this.bornMs !== undefined;
  }

  /** Rack of the worker, which is its second label. */
  get rack(): string {
    return this.registration.labels[1] ?? '';
  }

  /** Records a reading of the clock of the worker. */
  recordClock(clockMs: number, nowMs: number): void {
    this.clock.record(clockMs, nowMs);
  }

  /** Returns the latest time in ms at which its clock may show a time in ms. */
  latestTimeOf(clockMs: number): number {
    return this.clock.latestTimeOf(clockMs);
  }

  /** Returns the end, on the clock of the worker, of a lease granted now. */
  leaseLimit(nowMs: number, holdMs: number): number {
    return this.clock.leaseLimit(nowMs, holdMs);
  }

  /** Records that a lease up to `leaseUntilMs` on the worker clock was sent. */
  recordLease(leaseUntilMs: number): void {
    const endsMs = this.latestTimeOf(leaseUntilMs);
    this.leaseEndsMs = Math.max(this.leaseEndsMs, endsMs);
  }

  /**
   * Sequence number to acknowledge with the next poll; 0 if there is no new
   * one. A restarted worker numbers its ends from the start, so
   * repeating an acknowledgement could discard ends of its new incarnation.
   */
  get sequenceToAcknowledge(): number {
    return this.storedSequence > this.acknowledgedSequence
      ? this.storedSequence
      : 0;
  }

  /** Records that ends up to a sequence number were acknowledged. */
  recordAcknowledged(sequence: number): void {
    this.acknowledgedSequence = Math.max(this.acknowledgedSequence, sequence);
  }

  /**
   * Returns whether a clock reading in the response to a command shows that the
   * worker has restarted.
   *
   * @param sentMs - Time in ms at which the command was sent.
   */
  isClockReset(clockMs: number, sentMs: number): boolean {
    return this.hasReported && this.clock.isReset(clockMs, sentMs);
  }

  /**
   * Begins a new incarnation, whose ends are numbered from the start.
   *
   * @param bornMs - Unix start time in ms; undefined until a report has it.
   */
  beginIncarnation(bornMs: number | undefined): void {
    this.bornMs = bornMs;
    this.largestCpuMillicores = this.registration.capacity.cpuMillicores;
    this.incarnation += 1;
    this.processedSequence = 0;
    this.storedSequence = 0;
    this.acknowledgedSequence = 0;
  }

  /** Adds a task that is or may be active on this worker. */
  addTask(task: TaskState): void {
    if (this.tasks.has(task)) return;
    this.lastStartMs = Math.max(this.lastStartMs, task.assignedMs);
    this.tasks.add(task);
    if (task.isSuspect) this.suspects.add(task);
    this.updateUsage(task.step, 1);
  }

  /** Removes a task that is no longer on this worker. */
  removeTask(task: TaskState): void {
    if (!this.tasks.delete(task)) return;
    this.suspects.delete(task);
    this.updateUsage(task.step, -1);
  }

  /**
   * Replaces the steps of the runs that belong to no task. They are being
   * stopped and use their request until they have ended.
   *
   * @param steps - Undefined for runs of jobs that are not known.
   */
  replaceOrphans(steps: ReadonlyArray<StepDefinition | undefined>): void {
    const known = steps.filter((step) => step !== undefined);
    for (const step of this.orphanSteps) this.updateUsage(step, -1);
    for (const step of known) this.updateUsage(step, 1);
    this.orphanSteps = known;
    this.hasUnknownRuns = known.length < steps.length;
  }

  /** Whether it runs something that belongs to no task. */
  get hasOrphans(): boolean {
    return this.orphanSteps.length > 0 || this.hasUnknownRuns;
  }

  /**
   * Returns whether all that is or may be active on this worker fits its
   * capacity, in those resources that a task of a step counts against.
   */
  isWithinCapacityFor({usesLeftoverCpu}: StepDefinition): boolean {
    return (
      (usesLeftoverCpu || this.freeCpu >= 0) &&
      this.freeMemoryMb >= 0 &&
      this.freeAccelerators >= 0
    );
  }

  /** Returns names of tasks on this worker for a log line. */
  taskNames(): string[] {
    return [...this.tasks].slice(0, LOGGED_TASKS).map(({name}) => name);
  }

  /** Memory in MB that is not requested by tasks. */
  get freeMemoryMb(): number {
    return this.registration.capacity.memoryMb - this.usedMemoryMb;
  }

  /** Number of accelerators that are not requested by tasks. */
  get freeAccelerators(): number {
    return this.registration.capacity.acceleratorCount - this.usedAccelerators;
  }

  /** CPU in millicores not requested by tasks other than best-effort ones. */
  get freeCpu(): number {
    return this.registration.capacity.cpuMillicores - this.usedCpu;
  }

  /**
   * CPU in millicores that is left for further best-effort tasks. Counts only
   * the average use of latency-critical tasks, not their full request.
   */
  get leftoverCpu(): number {
    const {cpuMillicores} = this.registration.capacity;
    const busy =
      this.usedCpu -
      this.latencyCriticalCpu * (1 - LATENCY_CRITICAL_UTILIZATION);
    return cpuMillicores - busy - this.bestEffortCpu;
  }

  /** Number of latency-critical tasks on this worker. */
  get latencyCriticalCount(): number {
    return this.latencyCriticalTasks;
  }

  /** Returns the number of latency-critical tasks that run an image. */
  countLatencyCritical(image: string | undefined): number {
    let count = 0;
    for (const {step} of this.tasks) {
      if (step.tailTargetMs > 0 && step.image === image) count += 1;
    }
    return count;
  }

  private updateUsage(step: StepDefinition, sign: 1 | -1): void {
    this.version += 1;
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

/** Whether a run in a state has been sent to its worker. */
function isSentState(state: RunState): boolean {
  return state === 'starting' || state === 'stopping' || state === 'inherited';
}
