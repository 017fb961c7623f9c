import {BestEffortController} from './best_effort_controller.js';
import {TaskState} from './task_state.js';
import {WorkerState} from './worker_state.js';

/** Inputs of a placement decision besides the task. */
export interface PlacementContext {
  nowMs: number;
  /** Service whose workers may run the task. */
  service: string;
  /** Number of placed tasks of the same step by worker id. */
  siblings: ReadonlyMap<string, number>;
  /** Rack that a rack-sensitive step already uses. @default none */
  preferredRack?: string;
  /** Returns whether a worker may run the task. @default all workers may */
  isAllowed?: (worker: WorkerState) => boolean;
}

/** Strategy for choosing the worker of a task. */
export interface TaskPlacement {
  /**
   * Returns how well a worker suits a task; the highest score is the best.
   * Undefined if the worker cannot accept the task now.
   */
  score(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | undefined;
}

/** Maximum age in ms of the latest report of a worker that gets new tasks. */
const REPORT_AGE_LIMIT_MS = 3500;

/** Penalty that ranks workers on another rack below those on the right one. */
const RACK_PENALTY = 1000;

/** Penalty for a worker on which recent runs failed. */
const SUSPECT_PENALTY = 500;

/**
 * Penalty of a worker for a task that may crash it, per task that would be lost
 * as well; latency-critical tasks count more, since they are missed at once.
 */
const NEIGHBOR_PENALTY = 20;

/**
 * Time in ms after an assignment to a worker in which no task is placed there
 * that may crash it: after a crash, either could be the cause.
 */
const SUSPECT_DISTANCE_MS = 350;

/**
 * Time in ms after which a suspect no longer waits for a worker on which nothing
 * has just started; there may be none at a high rate of starts.
 */
const SUSPECT_PATIENCE_MS = 2000;

/** Weight of a latency-critical neighbor in addition to that of each task. */
const LATENCY_CRITICAL_NEIGHBORS = 2;

/** Score per latency-critical task of the same image; negated for others. */
const SAME_IMAGE_SCORE = 10;

/**
 * Weight of the interference with latency-critical tasks relative to free
 * capacity. Reserves capacity next to sensitive tasks for images that do not
 * interfere with them.
 */
const PRESSURE_WEIGHT = 4;

/**
 * Score per latency-critical task of the same step on the worker. Their loads
 * peak together, so the other workers have capacity left at that time.
 */
const SAME_STEP_SCORE = 40;

/**
 * Score that keeps tasks which are neither latency-critical nor best-effort off
 * workers without latency-critical tasks.
 */
const SEPARATION_SCORE = 1;

/**
 * Groups latency-critical tasks by image, so that each image of best-effort
 * tasks finds workers where it interferes little. Spreads all other tasks, so
 * that the failure of a worker affects few of them.
 */
export class InterferenceAwarePlacement implements TaskPlacement {
  constructor(private readonly bestEffort: BestEffortController) {}

  score(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | undefined {
    if (!canRun(task, worker, context)) return undefined;
    const baseScore = this.headroomScore(task, worker, context);
    if (baseScore === undefined) return undefined;
    return baseScore + scoreOf(task, worker, context);
  }

  /**
   * Returns undefined if a best-effort task would leave a latency-critical task
   * on the worker no headroom.
   */
  private headroomScore(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | undefined {
    const {step} = task;
    if (step.tailTargetMs > 0) return colocationScore(task, worker, context);
    const leftover = worker.leftoverCpu / worker.machineCpu;
    if (!step.usesLeftoverCpu) {
      return (
        leftover + (worker.latencyCriticalCount > 0 ? SEPARATION_SCORE : 0)
      );
    }
    const {headroom, pressure} = this.bestEffort.headroomFor(
      worker,
      step,
      context.nowMs,
    );
    if (headroom <= 0) return undefined;
    return headroom / 2 + leftover / 2 - pressure * PRESSURE_WEIGHT;
  }
}

function colocationScore(
  task: TaskState,
  worker: WorkerState,
  context: PlacementContext,
): number {
  const same = worker.countLatencyCritical(task.step.image);
  const others = worker.latencyCriticalCount - same;
  const used = 1 - worker.freeCpu / worker.machineCpu;
  const siblings = context.siblings.get(worker.registration.id) ?? 0;
  const together = SAME_STEP_SCORE * siblings;
  return same > 0
    ? together + SAME_IMAGE_SCORE * same - SAME_IMAGE_SCORE * others + used
    : -SAME_IMAGE_SCORE * others;
}

function canRun(
  task: TaskState,
  worker: WorkerState,
  context: PlacementContext,
): boolean {
  const {step} = task;
  const {registration: entry, health} = worker;
  if (entry.service !== context.service || !worker.isRegistered) return false;
  if (!worker.hasReported || worker.hasEnded) return false;
  if (entry.isDraining || worker.hasUnknownRuns) return false;
  if (worker.isSilent) return false;
  if (context.nowMs - worker.lastReportMs > REPORT_AGE_LIMIT_MS) return false;
  if (health.isBlocked(context.nowMs)) return false;
  if (context.isAllowed?.(worker) === false) return false;
  if (isAmbiguous(task, worker, context.nowMs)) return false;
  if (step.requiredLabel && !entry.labels.includes(step.requiredLabel)) {
    return false;
  }
  const siblings = context.siblings.get(entry.id) ?? 0;
  if (step.mostPerWorker > 0 && siblings >= step.mostPerWorker) return false;
  if (worker.freeMemoryMb < step.memoryMb) return false;
  if (worker.freeAccelerators < step.acceleratorCount) return false;
  return step.usesLeftoverCpu
    ? worker.leftoverCpu >= step.cpuMillicores
    : worker.freeCpu >= step.cpuMillicores;
}

/**
 * Returns whether a crash of a worker soon after the start of a task there would
 * have two likely causes: nothing is placed beside a suspect that has not run
 * for a time, and no suspect beside a task that was assigned a moment ago.
 * Members of a gang start together in any case.
 */
function isAmbiguous(
  task: TaskState,
  worker: WorkerState,
  nowMs: number,
): boolean {
  const suspect = worker.unprovenSuspect();
  if (suspect) return !(task.step.isGang && suspect.job === task.job);
  if (!task.isSuspect || task.step.isGang) return false;
  if (nowMs - task.waitingSinceMs >= SUSPECT_PATIENCE_MS) return false;
  return nowMs - worker.lastStartMs < SUSPECT_DISTANCE_MS;
}

function scoreOf(
  task: TaskState,
  worker: WorkerState,
  context: PlacementContext,
): number {
  const {step} = task;
  let score = 0;
  const rack = step.affinityRack ?? context.preferredRack;
  if (rack !== undefined && worker.rack !== rack) score -= RACK_PENALTY;
  if (task.isSuspect) {
    const neighbors =
      worker.tasks.size +
      LATENCY_CRITICAL_NEIGHBORS * worker.latencyCriticalCount;
    score -= NEIGHBOR_PENALTY * neighbors;
  }
  if (worker.health.isSuspect(context.nowMs)) score -= SUSPECT_PENALTY;
  if (task.failedWorkerId === worker.registration.id) score -= SUSPECT_PENALTY;
  return score;
}
