import {Clock} from '../../clock/clock.js';
import {NodeLog} from '../../logging/node_log.js';
import {WorkerRegistration} from '../../work/worker_registration.js';
import {Assignment, TaskState} from '../runs/task_state.js';
import {WorkerReport} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link WorkerRegistry}. */
export interface WorkerRegistryOptions {
  clock: Clock;
  log: NodeLog;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Time in ms for which a previous owner may still extend leases. */
  previousTermLeaseMs: number;
  /** Called before a worker begins its next incarnation under the same id. */
  onRestart: (worker: WorkerState) => void;
  /** Called with each task whose assignment names another incarnation now. */
  onAssignmentChange: (task: TaskState) => void;
}

/**
 * Time in ms between two reports of a worker above which it was silent. Polls
 * wait up to 1300 ms for an event.
 */
const SILENCE_MS = 1600;

/** Minimum rate of the clock of a worker relative to true time. */
const MIN_CLOCK_RATE = 0.98;

/** Allowance in ms for the transfer of a command that extends a lease. */
const LEASE_TRANSFER_MS = 300;

/**
 * Workers of a partition in one term of ownership, with what is known of their
 * incarnations, clocks and leases.
 */
export class WorkerRegistry {
  /** Workers that are registered or may still run a task, by id. */
  readonly workers = new Map<string, WorkerState>();
  private readonly termStartMs: number;
  private evacuations: ReadonlySet<string> = new Set();

  constructor(private readonly options: WorkerRegistryOptions) {
    this.termStartMs = options.clock.nowMs();
  }

  /** Adds a worker or updates its registration. */
  upsert(registration: WorkerRegistration): WorkerState {
    const existing = this.workers.get(registration.id);
    if (!existing) return this.add(registration);
    existing.isRegistered = true;
    if (registration.isDraining !== existing.registration.isDraining) {
      this.options.log.logDecision('worker-state', {
        worker: registration.id,
        isDraining: registration.isDraining,
        remainingMs: registration.remainingMs,
      });
    }
    existing.register(registration);
    this.applyEvacuation(existing);
    return existing;
  }

  /** Replaces the data centres whose workers are given no start. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.evacuations = dataCentres;
    for (const worker of this.workers.values()) this.applyEvacuation(worker);
  }

  /** Handles the removal of a registration; the lease may still be valid. */
  unregister(id: string): void {
    const worker = this.workers.get(id);
    if (!worker) return;
    worker.isRegistered = false;
    this.options.log.logDecision('worker-unregistered', {
      worker: id,
      tasks: worker.tasks.size,
    });
  }

  /** Attaches a run that a previous owner assigned to its worker. */
  inheritRun(task: TaskState, assignment: Assignment): void {
    const worker =
      this.workers.get(assignment.workerId) ?? this.addUnregistered(assignment);
    worker.addTask(task);
  }

  /**
   * Records what a report tells about the worker itself.
   *
   * @param sentMs - Time in ms at which the poll was sent.
   * @returns Time in ms at which the worker wrote the report, at the latest.
   */
  recordReport(
    worker: WorkerState,
    report: WorkerReport,
    sentMs: number,
  ): number {
    const nowMs = this.options.clock.nowMs();
    const isNew = this.detectNewIncarnation(worker, report, nowMs);
    const latestMs = isNew ? nowMs : worker.latestTimeOf(report.clockMs);
    const writtenMs = Math.min(nowMs, Math.max(sentMs, latestMs));
    worker.recordClock(report.clockMs, nowMs);
    excludeSilence(worker, nowMs);
    worker.lastReportMs = writtenMs;
    return writtenMs;
  }

  /**
   * Begins a new incarnation if the response to a command shows that the clock
   * of the worker has been reset.
   *
   * @param clockMs - Clock of the worker in the response, if it has one.
   * @param sentMs - Time in ms at which the command was sent.
   */
  detectClockReset(
    worker: WorkerState,
    clockMs: number | undefined,
    sentMs: number,
  ): void {
    if (clockMs === undefined || !worker.isClockReset(clockMs, sentMs)) return;
    this.options.log.logDecision('worker-clock-went-back', {
      worker: worker.registration.id,
      clockMs,
      answeredInMs: Math.round(this.options.clock.nowMs() - sentMs),
    });
    this.options.onRestart(worker);
    worker.beginIncarnation(undefined);
    this.moveTasks(worker, 0);
  }

  private applyEvacuation(worker: WorkerState): void {
    const {dataCentre} = worker.registration;
    worker.isEvacuated = this.evacuations.has(dataCentre);
  }

  private add(registration: WorkerRegistration): WorkerState {
    const worker = new WorkerState(registration);
    this.applyEvacuation(worker);
    // A previous owner may have extended the lease of the worker until now.
    const {previousTermLeaseMs, longestLeaseMs} = this.options;
    worker.leaseEndsMs =
      this.termStartMs +
      previousTermLeaseMs +
      LEASE_TRANSFER_MS +
      longestLeaseMs / MIN_CLOCK_RATE;
    this.workers.set(registration.id, worker);
    return worker;
  }

  /** Adds a worker that is not registered but may still run a task. */
  private addUnregistered(assignment: Assignment): WorkerState {
    const worker = this.add({
      id: assignment.workerId,
      service: '',
      address: assignment.workerAddress ?? '',
      dataCentre: '',
      isDraining: false,
      remainingMs: undefined,
      capacity: {cpuMillicores: 0, memoryMb: 0, acceleratorCount: 0},
      labels: [],
      bornMs: assignment.workerBornMs,
    });
    worker.isRegistered = false;
    return worker;
  }

  /** Returns whether a report is the first of an incarnation in this term. */
  private detectNewIncarnation(
    worker: WorkerState,
    report: WorkerReport,
    nowMs: number,
  ): boolean {
    const bornMs = report.bornMs ?? worker.registration.bornMs;
    if (worker.bornMs === bornMs) return false;
    const isFirst = worker.bornMs === undefined;
    if (!isFirst || ranEarlierIncarnation(worker, bornMs)) {
      this.options.onRestart(worker);
    }
    worker.beginIncarnation(bornMs);
    this.moveTasks(worker, bornMs);
    this.options.log.logDecision('worker-life', {
      worker: worker.registration.id,
      address: worker.registration.address,
      bornMs,
      isFirst,
      atMs: Math.round(nowMs),
      tasks: isFirst ? worker.tasks.size : worker.taskNames(),
    });
    return true;
  }

  /**
   * Records that the tasks of a worker can run only in its new incarnation, where
   * none of them has been seen yet. The crash is counted, and a successor must
   * not count it again.
   *
   * @param bornMs - Unix start time of the incarnation in ms; 0 if unknown.
   */
  private moveTasks(worker: WorkerState, bornMs: number): void {
    for (const task of worker.tasks) {
      if (!task.assignment || task.assignment.workerBornMs === bornMs) continue;
      task.hasBegun = false;
      task.assignment.workerBornMs = bornMs;
      this.options.onAssignmentChange(task);
    }
  }
}

/** Whether a worker has inherited runs of an incarnation before `bornMs`. */
function ranEarlierIncarnation(worker: WorkerState, bornMs: number): boolean {
  for (const {assignment} of worker.tasks) {
    // The start time is 0 if an earlier owner did not know it.
    const startMs = assignment?.workerBornMs ?? 0;
    if (startMs !== 0 && startMs !== bornMs) return true;
  }
  return false;
}

/**
 * Does not count the time in which a worker was silent as time without
 * progress: a suspended worker goes on where it was.
 */
function excludeSilence(worker: WorkerState, nowMs: number): void {
  const silentMs = nowMs - worker.lastReportMs;
  if (silentMs < SILENCE_MS) return;
  for (const task of worker.tasks) task.lastProgressMs = nowMs;
}
