import {CandidateSet} from './candidate_set.js';
import {StepContext} from './step_contexts.js';
import {TaskPlacement} from './task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link StepAssigner}. */
export interface StepAssignerOptions {
  placement: TaskPlacement;
  /** Called to assign a run of a task to a worker. */
  onAssign: (task: TaskState, worker: WorkerState, run: number) => void;
}

/**
 * Speed limit in percent at which a best-effort task starts that may take the
 * headroom of latency-critical tasks. It is raised as far as these allow.
 */
const STARVED_SPEED_PERCENT = 10;

/** Assigns tasks of one step to the best workers, one task after another. */
export class StepAssigner {
  private candidates: CandidateSet | undefined;
  private preferredRack: string | undefined;
  private failedWorkerId: string | undefined;
  private crashedAddress: string | undefined;
  private isSuspect = false;
  private wasRefused = false;
  private hasReservation = false;

  constructor(
    private readonly options: StepAssignerOptions,
    private readonly context: StepContext,
    private readonly workers: readonly WorkerState[],
  ) {}

  /** Assigns a run of a task; returns false if no worker can accept it. */
  assign(
    task: TaskState,
    run: number,
    preferredRack: string | undefined,
  ): boolean {
    const candidates = this.candidatesFor(task, preferredRack);
    const worker = candidates.best();
    if (!worker) return false;
    const {siblings} = this.context;
    const {id} = worker.registration;
    task.startSpeedPercent = this.context.acceptsInterference
      ? STARVED_SPEED_PERCENT
      : 100;
    this.options.onAssign(task, worker, run);
    siblings.set(id, (siblings.get(id) ?? 0) + 1);
    candidates.update(worker);
    return true;
  }

  /** Reuses the candidates of the previous task if its scores are the same. */
  private candidatesFor(
    task: TaskState,
    preferredRack: string | undefined,
  ): CandidateSet {
    const hasReservation = this.isReservedFor(task);
    const isSame =
      !hasReservation &&
      !this.hasReservation &&
      this.preferredRack === preferredRack &&
      this.isSuspect === task.isSuspect &&
      this.failedWorkerId === task.failedWorkerId &&
      this.crashedAddress === task.crashedAddress &&
      !this.wasRefused &&
      task.refusedBy.size === 0;
    if (this.candidates && isSame) return this.candidates;
    this.preferredRack = preferredRack;
    this.failedWorkerId = task.failedWorkerId;
    this.crashedAddress = task.crashedAddress;
    this.isSuspect = task.isSuspect;
    this.wasRefused = task.refusedBy.size > 0;
    this.hasReservation = hasReservation;
    const {placement} = this.options;
    const context = {...this.context, preferredRack};
    const {workers} = this;
    this.candidates = new CandidateSet({task, workers, placement, context});
    return this.candidates;
  }

  /** Returns whether a worker is kept free for a task, and only for it. */
  private isReservedFor(task: TaskState): boolean {
    if (!task.isSuspect) return false;
    const {nowMs} = this.context;
    return this.workers.some((worker) => worker.reservedFor(nowMs) === task);
  }
}
