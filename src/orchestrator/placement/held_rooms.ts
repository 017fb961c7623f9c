import {StepDefinition} from '../../work/job_definition.js';
import {expectedEndMs, RunDuration} from '../runs/expected_end.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Room on a worker that is kept for a task that waits. */
export interface HeldRoom {
  task: TaskState;
  /** Time in ms at which the request of the task is expected to fit. */
  fromMs: number;
  /** Time in ms after which the room is given up. */
  untilMs: number;
}

/** Options of {@link HeldRooms}. */
export interface HeldRoomsOptions {
  workers: ReadonlyMap<string, WorkerState>;
  /** Returns how long a run of a task is expected to take, in ms. */
  duration: RunDuration;
  /**
   * Maximum share of the workers on which room is held. @default 0.125
   */
  mostShare?: number;
}

/** Time in ms that a task waits before room is held for it. */
const HOLD_AFTER_MS = 200;

/** Time in ms after the expected one after which a room is given up. */
const GRACE_MS = 500;

/** Longest time in ms ahead for which room is held; estimates reach no further. */
const HORIZON_MS = 10_000;

/** Default of {@link HeldRoomsOptions.mostShare}. */
const MOST_SHARE = 0.125;

/**
 * Keeps room on workers for tasks that are too large for the gaps which small
 * tasks leave. Others are placed there only if they end before the room is
 * needed or leave enough of it.
 */
export class HeldRooms {
  private readonly workersByTask = new Map<TaskState, WorkerState>();

  constructor(private readonly options: HeldRoomsOptions) {}

  /** Number of workers on which room is held. */
  get count(): number {
    return this.workersByTask.size;
  }

  /** Gives up the rooms that are not needed, or have not come, any more. */
  beginPass(nowMs: number): void {
    for (const [task, worker] of this.workersByTask) {
      const {heldRoom} = worker;
      const isHeld = heldRoom?.task === task && nowMs < heldRoom.untilMs;
      const isNeeded = task.state === 'waiting' && !task.job.isFinal;
      if (isHeld && isNeeded && canHold(worker)) continue;
      this.workersByTask.delete(task);
      if (heldRoom?.task === task) worker.heldRoom = undefined;
    }
  }

  /**
   * Holds room for a task that has found no worker.
   *
   * @param isSuitable - Returns whether a worker may run the task once it has
   *     room.
   */
  hold(
    task: TaskState,
    isSuitable: (worker: WorkerState) => boolean,
    nowMs: number,
  ): void {
    const {workers, mostShare = MOST_SHARE} = this.options;
    if (this.workersByTask.has(task) || !needsRoom(task.step)) return;
    if (nowMs - task.waitingSinceMs < HOLD_AFTER_MS) return;
    if (this.count >= Math.max(1, workers.size * mostShare)) return;
    let bestMs = nowMs + HORIZON_MS;
    let best: WorkerState | undefined;
    for (const worker of workers.values()) {
      if (worker.heldRoom || !canHold(worker) || !isSuitable(worker)) continue;
      const fromMs = this.fitMs(task.step, worker, nowMs);
      if (fromMs >= bestMs) continue;
      bestMs = fromMs;
      best = worker;
    }
    if (!best) return;
    this.workersByTask.set(task, best);
    best.heldRoom = {task, fromMs: bestMs, untilMs: bestMs + GRACE_MS};
  }

  /** Returns when the request of a step is expected to fit, in ms. */
  private fitMs(
    step: StepDefinition,
    worker: WorkerState,
    nowMs: number,
  ): number {
    let {freeCpu: cpu, freeMemoryMb: memory} = worker;
    let {freeAccelerators: accelerators} = worker;
    const fits = (): boolean =>
      cpu >= step.cpuMillicores &&
      memory >= step.memoryMb &&
      accelerators >= step.acceleratorCount;
    if (fits()) return nowMs;
    for (const {task, endMs} of this.expectedEnds(worker, nowMs)) {
      if (!task.step.usesLeftoverCpu) cpu += task.step.cpuMillicores;
      memory += task.step.memoryMb;
      accelerators += task.step.acceleratorCount;
      if (fits()) return endMs;
    }
    return Infinity;
  }

  /** Returns the runs on a worker that end by themselves, the earliest first. */
  private expectedEnds(
    worker: WorkerState,
    nowMs: number,
  ): Array<{task: TaskState; endMs: number}> {
    return [...worker.tasks]
      .filter(({step}) => !step.isLongRunning)
      .map((task) => ({
        task,
        endMs: expectedEndMs(task, this.options.duration, nowMs),
      }))
      .sort((left, right) => left.endMs - right.endMs);
  }
}

/**
 * Returns whether a task may be placed beside the room that is held on a worker.
 *
 * @param expectedMs - Time in ms that a run of the task is expected to take.
 */
export function leavesHeldRoom(
  step: StepDefinition,
  worker: WorkerState,
  {expectedMs, nowMs}: {expectedMs: number; nowMs: number},
): boolean {
  const {heldRoom} = worker;
  if (!heldRoom || nowMs >= heldRoom.untilMs) return true;
  if (!step.isLongRunning && nowMs + expectedMs <= heldRoom.fromMs) return true;
  const {step: holder} = heldRoom.task;
  const cpu = step.usesLeftoverCpu ? 0 : step.cpuMillicores;
  return (
    worker.freeCpu - cpu >= holder.cpuMillicores &&
    worker.freeMemoryMb - step.memoryMb >= holder.memoryMb &&
    worker.freeAccelerators - step.acceleratorCount >= holder.acceleratorCount
  );
}

/** Whether a step waits for requested room, not for what others leave over. */
function needsRoom({usesLeftoverCpu, isGang}: StepDefinition): boolean {
  return !usesLeftoverCpu && !isGang;
}

function canHold(worker: WorkerState): boolean {
  return (
    worker.isRegistered &&
    worker.hasReported &&
    !worker.hasEnded &&
    !worker.isSilent &&
    !worker.isEvacuated &&
    !worker.registration.isDraining
  );
}
