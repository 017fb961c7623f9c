import {
  FillUsage,
  TailInterference,
} from '../interference/tail_interference.js';
import {StepDefinition} from '../work/job_definition.js';
import {TaskState} from './task_state.js';
import {WorkerState} from './worker_state.js';

/** Image of tasks that name none. */
const NO_IMAGE = '';

/** Distance of a seen load from its limit at which others are slowed down. */
const SLOW_DOWN_MARGIN = 0.01;

/** Share in percent below which a task stands still. */
const LEAST_PERCENT = 10;

/** Share in percent that is given back at a time. */
const SPEED_UP_PERCENT = 30;

/** Distance of a seen load from its limit from which a worker is watched. */
const WATCH_MARGIN = 0.06;

/** Load in a second by which more is cut while a tail stays over its limit. */
const CUT_GROWTH = 0.15;

/** Least pressure that a task is taken for when others have to slow down. */
const LEAST_PRESSURE = 0.005;

/** Time in ms between two changes; gauges cover the last half second. */
const CHANGE_INTERVAL_MS = 450;

/** Time in ms that a gauge covers. */
const GAUGE_WINDOW_MS = 500;

/** Time in ms ahead for which tasks that serve need their load. */
const LOOK_AHEAD_MS = 500;

const MS_PER_SECOND = 1000;

/** A task whose pace changes. */
export interface PaceChange {
  task: TaskState;
  percent: number;
}

/** Room for one more task on leftover processors. */
export interface FillRoom {
  headroom: number;
  pressure: number;
}

interface ServingLoad {
  image: string;
  /** Load that the tightest task of the image has free. */
  free: number;
}

interface CachedLoads {
  version: number;
  loads: readonly ServingLoad[];
}

/** A task on leftover processors as a report showed it last. */
interface SeenFill extends FillUsage {
  seenMs: number;
}

/**
 * Decides what may run on leftover processors beside tasks that serve, and at
 * which pace, from what was learned of their interference.
 */
export class FillControl {
  readonly interference = new TailInterference();
  private readonly loads = new WeakMap<WorkerState, CachedLoads>();
  private readonly seenFills = new WeakMap<
    WorkerState,
    Map<string, SeenFill>
  >();

  /** Learns from the gauges of a worker's report. */
  observe(worker: WorkerState, nowMs: number): void {
    worker.version += 1;
    const fills = this.fillsInWindow(worker, nowMs);
    worker.isNearLimit = false;
    for (const task of worker.tasks) {
      if (!isWorkingServer(task) || task.gauge === undefined) continue;
      this.interference.observe({
        task: task.name,
        group: groupOf(task),
        image: imageOf(task.step),
        tailMs: task.gauge,
        fills,
        nowMs,
      });
      this.noteLimit(worker, task, nowMs);
    }
  }

  private noteLimit(worker: WorkerState, task: TaskState, nowMs: number): void {
    const excess = this.excessOf(task);
    const isOver = excess > SLOW_DOWN_MARGIN;
    if (excess > -WATCH_MARGIN) worker.isNearLimit = true;
    if (!isOver) task.overLimitSinceMs = Infinity;
    else if (task.overLimitSinceMs === Infinity) task.overLimitSinceMs = nowMs;
  }

  /** Forgets the tasks of a job that has ended. */
  forget(tasks: Iterable<TaskState>): void {
    for (const task of tasks) {
      if (task.step.tailTargetMs === 0) continue;
      this.interference.removeGroup(groupOf(task), [task.name]);
    }
  }

  /**
   * Room for one more task of a step beside the tasks that serve.
   *
   * @returns The load that stays free on the tightest task, and the load that
   *     the step puts on the task it disturbs most.
   */
  room(worker: WorkerState, step: StepDefinition, nowMs: number): FillRoom {
    const share = step.cpuMillicores / worker.entry.capacity.cpuMillicores;
    const fill = imageOf(step);
    const room: FillRoom = {headroom: 1, pressure: 0};
    for (const {image, free} of this.servingLoads(worker, nowMs)) {
      const pressure = this.interference.pressureOf(image, fill) * share;
      room.headroom = Math.min(room.headroom, free - pressure);
      room.pressure = Math.max(room.pressure, pressure);
    }
    return room;
  }

  /** Chooses new paces after a report. */
  paceChanges(worker: WorkerState, nowMs: number): PaceChange[] {
    if (nowMs - worker.paceChangedMs < CHANGE_INTERVAL_MS) return [];
    const hurt = [...worker.tasks].filter((task) => this.excessOf(task) > 0);
    const changes =
      hurt.length > 0
        ? this.slowDown(worker, hurt, nowMs)
        : this.speedUp(worker, nowMs);
    if (changes.length > 0) worker.paceChangedMs = nowMs;
    return changes;
  }

  /**
   * Use of tasks on leftover processors in the time that the gauges of the
   * latest report cover. Tasks that have ended since count for their part.
   */
  private fillsInWindow(worker: WorkerState, nowMs: number): FillUsage[] {
    const seen = this.seenFills.get(worker) ?? new Map<string, SeenFill>();
    this.seenFills.set(worker, seen);
    const {cpuMillicores} = worker.entry.capacity;
    for (const task of worker.tasks) {
      if (!task.step.usesLeftoverCpu || task.state !== 'running') continue;
      const share = (task.gauge ?? 0) / cpuMillicores;
      seen.set(task.name, {image: imageOf(task.step), share, seenMs: nowMs});
    }
    const uses: FillUsage[] = [];
    for (const [name, {image, share, seenMs}] of seen) {
      const part = 1 - (nowMs - seenMs) / GAUGE_WINDOW_MS;
      if (part <= 0) seen.delete(name);
      else uses.push({image, share: share * part});
    }
    return sumByImage(uses);
  }

  /** Slows down what presses most until the tasks that serve have room. */
  private slowDown(
    worker: WorkerState,
    hurt: readonly TaskState[],
    nowMs: number,
  ): PaceChange[] {
    const pressures = [...worker.tasks]
      .filter(isWorkingFill)
      .map((fill) => ({fill, load: this.pressureOn(worker, fill, hurt)}))
      .sort((left, right) => right.load - left.load);
    const paced = usesOf(worker, pacedCpu);
    const overMs = Math.max(
      0,
      ...hurt.map(({overLimitSinceMs}) => nowMs - overLimitSinceMs),
    );
    let excess = Math.max(
      ...hurt.map((task) => this.excessOf(task)),
      ...hurt.map((task) => -this.freeLoad(task, paced, nowMs)),
    );
    excess += (CUT_GROWTH * overMs) / MS_PER_SECOND;
    const changes: PaceChange[] = [];
    for (const {fill, load} of pressures) {
      if (excess <= 0) break;
      const cut = Math.min(1, excess / load);
      const percent = Math.floor(fill.pacePercent * (1 - cut));
      changes.push({
        task: fill,
        percent: percent < LEAST_PERCENT ? 0 : percent,
      });
      excess -= load * cut;
    }
    return changes;
  }

  /** Gives pace back to the task that presses least, if there is room. */
  private speedUp(worker: WorkerState, nowMs: number): PaceChange[] {
    const fills = usesOf(worker, pacedCpu);
    const changes: PaceChange[] = [];
    for (const task of worker.tasks) {
      if (!task.step.usesLeftoverCpu || task.state !== 'running') continue;
      if (task.pacePercent >= 100) continue;
      const percent = Math.min(100, task.pacePercent + SPEED_UP_PERCENT);
      const {cpuMillicores} = worker.entry.capacity;
      const gained = (percent - task.pacePercent) / 100;
      const share = (task.step.cpuMillicores * gained) / cpuMillicores;
      fills.push({image: imageOf(task.step), share});
      const isFree = [...worker.tasks].every(
        (other) => !isServing(other) || this.freeLoad(other, fills, nowMs) > 0,
      );
      if (isFree) changes.push({task, percent});
      else fills.pop();
    }
    return changes;
  }

  /** Least free load by image of the tasks that serve on a worker. */
  private servingLoads(
    worker: WorkerState,
    nowMs: number,
  ): readonly ServingLoad[] {
    const known = this.loads.get(worker);
    if (known?.version === worker.version) return known.loads;
    const byImage = new Map<string, number>();
    if (worker.servingCount > 0) {
      const fills = usesOf(worker, requestedCpu);
      for (const task of worker.tasks) {
        if (!isServing(task)) continue;
        const image = imageOf(task.step);
        const isOver = task.overLimitSinceMs < Infinity;
        const free = isOver ? 0 : this.freeLoad(task, fills, nowMs);
        byImage.set(image, Math.min(free, byImage.get(image) ?? 1));
      }
    }
    const loads = [...byImage].map(([image, free]) => ({image, free}));
    this.loads.set(worker, {version: worker.version, loads});
    return loads;
  }

  /** Load of a task that serves over what its limit allows; below 0 if none. */
  private excessOf(task: TaskState): number {
    if (!isWorkingServer(task)) return -1;
    const seen = this.interference.observedLoadOf(task.name);
    if (seen === undefined) return -1;
    const image = imageOf(task.step);
    const limit = this.interference.loadAt(image, task.step.tailTargetMs);
    return seen - limit + SLOW_DOWN_MARGIN;
  }

  /** Load that a task that serves can still take within its limit. */
  private freeLoad(
    task: TaskState,
    fills: readonly FillUsage[],
    nowMs: number,
  ): number {
    const image = imageOf(task.step);
    const group = groupOf(task);
    const {interference} = this;
    const own = Math.max(
      interference.ownLoadOf(group, nowMs),
      interference.ownLoadOf(group, nowMs + LOOK_AHEAD_MS),
    );
    const limit = interference.loadAt(image, task.step.tailTargetMs);
    let free = limit - own;
    for (const fill of fills) {
      free -= interference.pressureOf(image, fill.image) * fill.share;
    }
    return free;
  }

  /** Load by a task on the one that it presses most. */
  private pressureOn(
    worker: WorkerState,
    fill: TaskState,
    tasks: readonly TaskState[],
  ): number {
    const share = pacedCpu(fill) / worker.entry.capacity.cpuMillicores;
    const pressures = tasks.map(({step}) =>
      this.interference.pressureOf(imageOf(step), imageOf(fill.step)),
    );
    return Math.max(LEAST_PRESSURE, Math.max(...pressures) * share);
  }
}

/** Tasks of one step of one occurrence share their load. */
function groupOf({job, position}: TaskState): string {
  return `${job.definition.id}.${position.occurrence}.${position.step}`;
}

function imageOf(step: StepDefinition): string {
  return step.image ?? NO_IMAGE;
}

function isServing(task: TaskState): boolean {
  return task.step.tailTargetMs > 0;
}

function isWorkingServer(task: TaskState): boolean {
  return isServing(task) && task.state === 'running';
}

function isWorkingFill(task: TaskState): boolean {
  return (
    task.step.usesLeftoverCpu &&
    task.state === 'running' &&
    task.pacePercent > 0
  );
}

function requestedCpu(task: TaskState): number {
  return task.step.cpuMillicores;
}

function pacedCpu(task: TaskState): number {
  return (task.step.cpuMillicores * task.pacePercent) / 100;
}

/** Use of a worker's processors by image. */
function usesOf(
  worker: WorkerState,
  cpuOf: (task: TaskState) => number,
): FillUsage[] {
  const {cpuMillicores} = worker.entry.capacity;
  const uses: FillUsage[] = [];
  for (const task of worker.tasks) {
    if (!task.step.usesLeftoverCpu) continue;
    const share = cpuOf(task) / cpuMillicores;
    uses.push({image: imageOf(task.step), share});
  }
  return sumByImage(uses);
}

function sumByImage(uses: Iterable<FillUsage>): FillUsage[] {
  const shares = new Map<string, number>();
  for (const {image, share} of uses) {
    shares.set(image, (shares.get(image) ?? 0) + share);
  }
  return [...shares].map(([image, share]) => ({image, share}));
}
