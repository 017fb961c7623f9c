import {TaskState} from './task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link StuckRuns}. */
export interface StuckRunsOptions {
  /** Workers that are registered or may still run a task, by id. */
  workers: ReadonlyMap<string, WorkerState>;
  /** Called with each run that is to be stopped. */
  onStuck: (task: TaskState) => void;
}

/** Time in ms for which a worker with a stuck task is blocked. */
const STUCK_BLOCK_MS = 6000;

/** Time in ms without progress after which a task counts as stuck. */
const STUCK_AFTER_MS = 1800;

/** Additional time without progress, as a fraction of the task estimate. */
const STUCK_ESTIMATE_FRACTION = 0.1;

/**
 * Fraction of the blocked workers of a service from which no more are blocked
 * for runs without progress.
 */
const MAX_STUCK_SHARE = 0.5;

/**
 * Maximum number of times that the time without progress is doubled for a task,
 * once for each of its runs that was stopped for it: it may just be slow.
 */
const MAX_STUCK_DOUBLINGS = 5;

/** Finds runs that make no progress, and blocks their workers. */
export class StuckRuns {
  constructor(private readonly options: StuckRunsOptions) {}

  /**
   * Handles the runs of a worker that its latest report shows as stuck.
   *
   * @param times - Time in ms at which the report was written, and present time.
   */
  check(
    worker: WorkerState,
    {writtenMs, nowMs}: {writtenMs: number; nowMs: number},
  ): void {
    for (const task of worker.tasks) {
      if (isStuck(task, writtenMs)) this.handleStuck(task, worker, nowMs);
    }
  }

  /**
   * Stops a run that makes no progress. Its worker is blocked unless half of the
   * workers of its service are: then the tasks are the likely cause, and would
   * keep the work of others from all workers.
   */
  private handleStuck(
    task: TaskState,
    worker: WorkerState,
    nowMs: number,
  ): void {
    const {service, id} = worker.registration;
    task.stuckRuns += 1;
    task.failedWorkerId = id;
    worker.health.recordFailure(nowMs);
    if (this.blockedShareOf(service, nowMs) < MAX_STUCK_SHARE) {
      worker.health.block(nowMs, STUCK_BLOCK_MS);
    }
    this.options.onStuck(task);
  }

  /** Returns the fraction of the workers of a service that are blocked. */
  private blockedShareOf(service: string, nowMs: number): number {
    let blocked = 0;
    let total = 0;
    for (const worker of this.options.workers.values()) {
      const {registration, isRegistered, health} = worker;
      if (registration.service !== service || !isRegistered) continue;
      total += 1;
      if (health.isBlocked(nowMs)) blocked += 1;
    }
    return blocked / Math.max(1, total);
  }
}

/** Returns whether a run has made no progress for too long, as of a time in ms. */
function isStuck(task: TaskState, atMs: number): boolean {
  const {step} = task;
  if (task.state !== 'running' || step.isLongRunning) return false;
  if (task.speedLimitPercent < 100 || step.isGang) return false;
  const limitMs = STUCK_AFTER_MS + step.estimatedMs * STUCK_ESTIMATE_FRACTION;
  const patience = 2 ** Math.min(task.stuckRuns, MAX_STUCK_DOUBLINGS);
  return atMs - task.lastProgressMs >= limitMs * patience;
}
