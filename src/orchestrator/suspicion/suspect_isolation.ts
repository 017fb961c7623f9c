import {CandidateSet} from '../placement/candidate_set.js';
import {PlacementContext, TaskPlacement} from '../placement/task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerExclusion} from '../placement/worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

/**
 * Time in ms after an assignment to a worker in which no task is placed there
 * that may crash it: after a crash, either could be the cause.
 */
const SUSPECT_DISTANCE_MS = 350;

/**
 * Time in ms after which a task that only the isolation of suspects keeps from
 * running is placed beside others. Two suspects are placed together only if both
 * are long-running and suspected for one crash: a worker that is lost with many
 * tasks makes all of them suspect, and one after the other they would wait too
 * long. Others stay apart, so that no two are suspected again and again.
 */
const ISOLATION_PATIENCE_MS = 2000;

/** Time in ms for which a worker is kept free of other starts for a suspect. */
const RESERVATION_MS = 1000;

/** Interval in ms between two searches for a worker without isolation. */
const SEARCH_INTERVAL_MS = 100;

/** Fraction of the workers that may be reserved at the same time. */
const RESERVED_FRACTION = 0.25;

/**
 * Returns why a crash of a worker soon after the start of a task there would
 * have two likely causes: nothing is placed beside a suspect that has not run
 * for a time, and no suspect beside a task that was assigned a moment ago or a
 * start that may take effect at any time. Members of a gang start together in
 * any case.
 */
export function isolationExclusion(
  task: TaskState,
  worker: WorkerState,
  {nowMs, ignoresIsolation = false}: PlacementContext,
): WorkerExclusion | undefined {
  const isIgnored =
    ignoresIsolation || nowMs - task.isolatedSinceMs >= ISOLATION_PATIENCE_MS;
  return task.isSuspect
    ? exclusionOfSuspect(task, worker, {nowMs, isIgnored})
    : exclusionBesideSuspect(task, worker, {nowMs, isIgnored});
}

/**
 * Returns why nothing is placed on a worker for the sake of a suspect. Where
 * that is ignored, the suspect still has the time in which its start is likely to
 * crash the worker.
 */
function exclusionBesideSuspect(
  task: TaskState,
  worker: WorkerState,
  {nowMs, isIgnored}: {nowMs: number; isIgnored: boolean},
): WorkerExclusion | undefined {
  const suspect = worker.unprovenSuspect();
  if (suspect) {
    const isAllowed = isIgnored
      ? nowMs - suspect.assignedMs >= SUSPECT_DISTANCE_MS
      : task.step.isGang && suspect.job === task.job;
    return isAllowed ? undefined : WorkerExclusion.UNPROVEN_SUSPECT;
  }
  const reservedFor = worker.reservedFor(nowMs);
  return reservedFor && reservedFor !== task && !isIgnored
    ? WorkerExclusion.RESERVED
    : undefined;
}

function exclusionOfSuspect(
  task: TaskState,
  worker: WorkerState,
  {nowMs, isIgnored}: {nowMs: number; isIgnored: boolean},
): WorkerExclusion | undefined {
  const isShared = task.mayShareSuspicion && worker.mayShareSuspicion;
  if (isIgnored && isShared) return undefined;
  const exclusion = exclusionBesideSuspect(task, worker, {
    nowMs,
    isIgnored: false,
  });
  if (exclusion || isIgnored || task.step.isGang) return exclusion;
  if (worker.hasStartInDoubt) return WorkerExclusion.START_IN_DOUBT;
  return nowMs - worker.lastStartMs < SUSPECT_DISTANCE_MS
    ? WorkerExclusion.RECENT_ASSIGNMENT
    : undefined;
}

/**
 * Records since when only the isolation of suspects keeps a task from running.
 * For a suspect that has room only where another task has just started, a worker
 * is reserved: without new starts there, it can be placed a moment later.
 */
export function endIsolation(
  task: TaskState,
  options: {
    workers: readonly WorkerState[];
    placement: TaskPlacement;
    context: PlacementContext;
  },
): void {
  const {placement, workers} = options;
  const {nowMs} = options.context;
  if (nowMs - task.lastIsolationSearchMs < SEARCH_INTERVAL_MS) return;
  task.lastIsolationSearchMs = nowMs;
  const context = {...options.context, ignoresIsolation: true};
  const best = new CandidateSet({task, workers, placement, context}).best();
  if (!best) return;
  task.isolatedSinceMs = Math.min(task.isolatedSinceMs, nowMs);
  if (!task.isSuspect) return;
  const reserved = workers.filter((worker) => worker.isReserved(nowMs));
  if (reserved.some((worker) => worker.reservedFor(nowMs) === task)) return;
  if (reserved.length >= Math.max(1, workers.length * RESERVED_FRACTION)) {
    return;
  }
  best.reserveFor(task, nowMs + RESERVATION_MS);
}
