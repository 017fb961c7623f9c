import {BestEffortController} from './best_effort_controller.js';
import {TaskState} from './task_state.js';
import {WorkerState} from './worker_state.js';

/** What a placement looks at. */
export interface PlacementContext {
  nowMs: number;
  /** Service whose workers may run the task. */
  service: string;
  workers: Iterable<WorkerState>;
  /** Tasks of the same step by worker id. */
  siblings: ReadonlyMap<string, number>;
  /** Rack that a rack-sensitive step already uses. @default none */
  preferredRack?: string;
  /** Tells whether a worker may run the task at all. @default all may */
  isAllowed?: (worker: WorkerState) => boolean;
}

/** Chooses the worker for a task. */
export interface TaskPlacement {
  /** Returns the worker, or undefined if none can take the task now. */
  choose(task: TaskState, context: PlacementContext): WorkerState | undefined;
}

/** Time in ms without a report after which a worker gets no new tasks. */
const REPORT_AGE_LIMIT_MS = 3500;

/** Score by which a worker on the wrong rack falls behind all on the right one. */
const RACK_PENALTY = 1000;

/** Score for a worker whose latest starts failed. */
const SUSPECT_PENALTY = 500;

/** Score that puts tasks that serve beside others of their image. */
const SAME_IMAGE_SCORE = 10;

/**
 * Weight of the load on tasks that serve against the room that is left; room
 * beside sensitive tasks is kept for images that do not disturb them.
 */
const PRESSURE_WEIGHT = 4;

/**
 * Score that puts tasks that serve beside others of their step. Their load
 * rises and falls together, so that other workers have room at their peak.
 */
const SAME_STEP_SCORE = 40;

/** Score that keeps tasks of other kinds away from each other's workers. */
const SEPARATION_SCORE = 1;

/**
 * Keeps tasks that serve together by image, so that each image of tasks on
 * leftover processors finds workers where it disturbs little; spreads all
 * other tasks, so that failures of one worker hit few of them.
 */
export class InterferenceAwarePlacement implements TaskPlacement {
  constructor(private readonly bestEffort: BestEffortController) {}

  choose(task: TaskState, context: PlacementContext): WorkerState | undefined {
    let best: WorkerState | undefined;
    let bestScore = -Infinity;
    for (const worker of context.workers) {
      if (!canRun(task, worker, context)) continue;
      const baseScore = this.headroomScore(task, worker, context);
      if (baseScore === undefined) continue;
      const score = baseScore + scoreOf(task, worker, context);
      if (score <= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  /** Returns undefined if the task would disturb what serves there. */
  private headroomScore(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | undefined {
    const {step} = task;
    const {cpuMillicores} = worker.registration.capacity;
    if (step.tailTargetMs > 0) return colocationScore(task, worker, context);
    const leftover = worker.leftoverCpu / cpuMillicores;
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
  const used = 1 - worker.freeCpu / worker.registration.capacity.cpuMillicores;
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
  if (!worker.hasReported || entry.isDraining) return false;
  if (context.nowMs - worker.lastReportMs > REPORT_AGE_LIMIT_MS) return false;
  if (health.isBlocked(context.nowMs)) return false;
  if (context.isAllowed?.(worker) === false) return false;
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

function scoreOf(
  task: TaskState,
  worker: WorkerState,
  context: PlacementContext,
): number {
  const {step} = task;
  let score = 0;
  const rack = step.affinityRack ?? context.preferredRack;
  if (rack !== undefined && worker.rack !== rack) score -= RACK_PENALTY;
  if (worker.health.isSuspect(context.nowMs)) score -= SUSPECT_PENALTY;
  if (task.failedWorkerId === worker.registration.id) score -= SUSPECT_PENALTY;
  return score;
}
