import {StepDefinition} from '../../work/job_definition.js';
import {BestEffortController} from './best_effort_controller.js';
import {leavesHeldRoom} from './held_rooms.js';
import {isolationExclusion} from '../suspicion/suspect_isolation.js';
import {PlacementContext, TaskPlacement} from './task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerExclusion} from './worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

/** Maximum age in ms of the latest report of a worker that gets new tasks. */
const REPORT_AGE_LIMIT_MS = 3500;

/** Penalty that ranks workers on another rack below those on the right one. */
const RACK_PENALTY = 1000;

/** Penalty for a worker on which recent runs failed. */
const SUSPECT_PENALTY = 500;

/** Penalty for a worker that has refused the task, above all other differences. */
const REFUSAL_PENALTY = 5000;

/**
 * Penalty of the machine on which a worker crashed under a suspect: a crash on
 * another machine tells whether the machine or the task is the cause.
 */
const SAME_MACHINE_PENALTY = 500;

/**
 * Penalty of a worker for a task that may crash it, per task that would be lost
 * as well; latency-critical tasks count more, since they are missed at once.
 */
const NEIGHBOR_PENALTY = 20;

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

  evaluate(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | WorkerExclusion {
    const exclusion =
      serviceExclusion(worker, context.service) ??
      stateExclusion(worker, context) ??
      isolationExclusion(task, worker, context) ??
      siblingExclusion(task.step, worker, context) ??
      roomExclusion(task.step, worker, context) ??
      heldRoomExclusion(task, worker, context);
    if (exclusion !== undefined) return exclusion;
    const headroomScore = this.headroomScore(task, worker, context);
    if (headroomScore === undefined) return WorkerExclusion.INTERFERENCE;
    return headroomScore + scoreOf(task, worker, context);
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
    if (headroom <= 0 && !context.acceptsInterference) return undefined;
    return headroom / 2 + leftover / 2 - pressure * PRESSURE_WEIGHT;
  }
}

/** Returns whether a worker has room for a task of a step by its capacity. */
export function hasRoomFor(step: StepDefinition, worker: WorkerState): boolean {
  return roomExclusion(step, worker, {}) === undefined;
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

function serviceExclusion(
  worker: WorkerState,
  service: string,
): WorkerExclusion | undefined {
  if (worker.registration.service !== service) {
    return WorkerExclusion.OTHER_SERVICE;
  }
  if (!worker.isRegistered) return WorkerExclusion.UNREGISTERED;
  return undefined;
}

/** Returns why a worker gets no task of a step at all, whatever its room. */
function stateExclusion(
  worker: WorkerState,
  {nowMs, isAllowed}: PlacementContext,
): WorkerExclusion | undefined {
  if (!worker.hasReported) return WorkerExclusion.NOT_REPORTED;
  if (worker.hasEnded) return WorkerExclusion.ENDED;
  if (worker.registration.isDraining) return WorkerExclusion.DRAINING;
  if (worker.isEvacuated) return WorkerExclusion.EVACUATED;
  if (worker.hasUnknownRuns) return WorkerExclusion.UNKNOWN_RUNS;
  if (worker.isSilent) return WorkerExclusion.SILENT;
  if (nowMs - worker.lastReportMs > REPORT_AGE_LIMIT_MS) {
    return WorkerExclusion.REPORT_TOO_OLD;
  }
  if (worker.health.isBlocked(nowMs)) return WorkerExclusion.BLOCKED;
  if (isAllowed?.(worker) === false) return WorkerExclusion.NO_TICKET;
  return undefined;
}

function siblingExclusion(
  step: StepDefinition,
  worker: WorkerState,
  {siblings}: PlacementContext,
): WorkerExclusion | undefined {
  if (step.mostPerWorker === 0) return undefined;
  const count = siblings.get(worker.registration.id) ?? 0;
  return count >= step.mostPerWorker ? WorkerExclusion.STEP_LIMIT : undefined;
}

function heldRoomExclusion(
  task: TaskState,
  worker: WorkerState,
  {nowMs, expectedMs = Infinity}: PlacementContext,
): WorkerExclusion | undefined {
  if (!worker.heldRoom || worker.heldRoom.task === task) return undefined;
  return leavesHeldRoom(task.step, worker, {nowMs, expectedMs})
    ? undefined
    : WorkerExclusion.HELD_ROOM;
}

/** Returns why a worker lacks the label or the capacity for a task of a step. */
function roomExclusion(
  step: StepDefinition,
  worker: WorkerState,
  {acceptsInterference}: Pick<PlacementContext, 'acceptsInterference'>,
): WorkerExclusion | undefined {
  const {requiredLabel} = step;
  if (requiredLabel && !worker.registration.labels.includes(requiredLabel)) {
    return WorkerExclusion.MISSING_LABEL;
  }
  if (worker.freeMemoryMb < step.memoryMb) return WorkerExclusion.MEMORY;
  if (worker.freeAccelerators < step.acceleratorCount) {
    return WorkerExclusion.ACCELERATORS;
  }
  if (step.usesLeftoverCpu) {
    const {cpuMillicores} = worker.registration.capacity;
    const isEnough = acceptsInterference
      ? cpuMillicores > 0
      : worker.leftoverCpu >= step.cpuMillicores;
    return isEnough ? undefined : WorkerExclusion.LEFTOVER_CPU;
  }
  return worker.freeCpu >= step.cpuMillicores ? undefined : WorkerExclusion.CPU;
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
  if (task.isSuspect && task.crashedAddress === worker.registration.address) {
    score -= SAME_MACHINE_PENALTY;
  }
  if (worker.health.isSuspect(context.nowMs)) score -= SUSPECT_PENALTY;
  const {id} = worker.registration;
  if (task.failedWorkerId === id) score -= SUSPECT_PENALTY;
  if (task.refusedBy.has(id)) score -= REFUSAL_PENALTY;
  return score;
}
