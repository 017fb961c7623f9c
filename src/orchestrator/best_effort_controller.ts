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
const SLOWDOWN_MARGIN = 0.01;

/** Share in percent below which a task stands still. */
const MIN_SPEED_PERCENT = 10;

/** Share in percent that is given back at a time. */
const SPEED_INCREMENT_PERCENT = 30;

/** Distance of a seen load from its limit from which a worker is watched. */
const NEAR_LIMIT_MARGIN = 0.06;

/** Load in a second by which more is cut while a tail stays over its limit. */
const CUT_GROWTH_PER_SECOND = 0.15;

/** Least pressure that a task is taken for when others have to slow down. */
const MIN_PRESSURE = 0.005;

/** Time in ms between two changes; gauges cover the last half second. */
const CHANGE_INTERVAL_MS = 450;

/** Time in ms that a gauge covers. */
const GAUGE_WINDOW_MS = 500;

/** Time in ms ahead for which tasks that serve need their load. */
const FORECAST_MS = 500;

const MS_PER_SECOND = 1000;

/** A task whose pace changes. */
export interface SpeedLimitChange {
  task: TaskState;
  percent: number;
}

/** Room for one more task on leftover processors. */
export interface BestEffortHeadroom {
  headroom: number;
  pressure: number;
}

interface LatencyCriticalLoad {
  image: string;
  /** Load that the tightest task of the image has free. */
  free: number;
}

interface CachedLoads {
  version: number;
  loads: readonly LatencyCriticalLoad[];
}

/** A task on leftover processors as a report showed it last. */
interface RecentUse extends FillUsage {
  lastReportedMs: number;
}

/**
 * Decides what may run on leftover processors beside tasks that serve, and at
 * which pace, from what was learned of their interference.
 */
export class BestEffortController {
  readonly interference = new TailInterference();
  private readonly loads = new WeakMap<WorkerState, CachedLoads>();
  private readonly recentUses = new WeakMap<
    WorkerState,
    Map<string, RecentUse>
  >();

  /** Learns from the gauges of a worker's report. */
  observe(worker: WorkerState, nowMs: number): void {
    worker.version += 1;
    const uses = this.usesInWindow(worker, nowMs);
    worker.isNearLimit = false;
    for (const task of worker.tasks) {
      if (!isRunningLatencyCritical(task) || task.gauge === undefined) continue;
      this.interference.observe({
        task: task.name,
        group: groupOf(task),
        image: imageOf(task.step),
        tailMs: task.gauge,
        fills: uses,
        nowMs,
      });
      this.updateLimitState(worker, task, nowMs);
    }
  }

  private updateLimitState(
    worker: WorkerState,
    task: TaskState,
    nowMs: number,
  ): void {
    const excess = this.excessOf(task);
    const isOver = excess > SLOWDOWN_MARGIN;
    if (excess > -NEAR_LIMIT_MARGIN) worker.isNearLimit = true;
    if (!isOver) task.overLimitSinceMs = Infinity;
    else if (task.overLimitSinceMs === Infinity) task.overLimitSinceMs = nowMs;
  }

  /** Forgets the tasks of a job that has ended. */
  removeTasks(tasks: Iterable<TaskState>): void {
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
  headroomFor(
    worker: WorkerState,
    step: StepDefinition,
    nowMs: number,
  ): BestEffortHeadroom {
    const share =
      step.cpuMillicores / worker.registration.capacity.cpuMillicores;
    const bestEffortImage = imageOf(step);
    const result: BestEffortHeadroom = {headroom: 1, pressure: 0};
    for (const {image, free} of this.latencyCriticalLoads(worker, nowMs)) {
      const pressure =
        this.interference.pressureOf(image, bestEffortImage) * share;
      result.headroom = Math.min(result.headroom, free - pressure);
      result.pressure = Math.max(result.pressure, pressure);
    }
    return result;
  }

  /** Chooses new paces after a report. */
  chooseSpeedLimits(worker: WorkerState, nowMs: number): SpeedLimitChange[] {
    if (nowMs - worker.speedLimitChangedMs < CHANGE_INTERVAL_MS) return [];
    const overLimit = [...worker.tasks].filter(
      (task) => this.excessOf(task) > 0,
    );
    const changes =
      overLimit.length > 0
        ? this.reduceSpeedLimits(worker, overLimit, nowMs)
        : this.raiseSpeedLimits(worker, nowMs);
    if (changes.length > 0) worker.speedLimitChangedMs = nowMs;
    return changes;
  }

  /**
   * Use of tasks on leftover processors in the time that the gauges of the
   * latest report cover. Tasks that have ended since count for their part.
   */
  private usesInWindow(worker: WorkerState, nowMs: number): FillUsage[] {
    const recent = this.recentUses.get(worker) ?? new Map<string, RecentUse>();
    this.recentUses.set(worker, recent);
    const {cpuMillicores} = worker.registration.capacity;
    for (const task of worker.tasks) {
      if (!task.step.usesLeftoverCpu || task.state !== 'running') continue;
      const share = (task.gauge ?? 0) / cpuMillicores;
      recent.set(task.name, {
        image: imageOf(task.step),
        share,
        lastReportedMs: nowMs,
      });
    }
    const uses: FillUsage[] = [];
    for (const [name, {image, share, lastReportedMs}] of recent) {
      const part = 1 - (nowMs - lastReportedMs) / GAUGE_WINDOW_MS;
      if (part <= 0) recent.delete(name);
      else uses.push({image, share: share * part});
    }
    return sumByImage(uses);
  }

  /** Slows down what presses most until the tasks that serve have room. */
  private reduceSpeedLimits(
    worker: WorkerState,
    overLimit: readonly TaskState[],
    nowMs: number,
  ): SpeedLimitChange[] {
    const candidates = [...worker.tasks]
      .filter(isActiveBestEffort)
      .map((task) => ({task, load: this.pressureOn(worker, task, overLimit)}))
      .sort((left, right) => right.load - left.load);
    const limitedUses = usesOf(worker, limitedCpu);
    const overMs = Math.max(
      0,
      ...overLimit.map(({overLimitSinceMs}) => nowMs - overLimitSinceMs),
    );
    let excess = Math.max(
      ...overLimit.map((task) => this.excessOf(task)),
      ...overLimit.map((task) => -this.freeLoad(task, limitedUses, nowMs)),
    );
    excess += (CUT_GROWTH_PER_SECOND * overMs) / MS_PER_SECOND;
    const changes: SpeedLimitChange[] = [];
    for (const {task, load} of candidates) {
      if (excess <= 0) break;
      const cut = Math.min(1, excess / load);
      const percent = Math.floor(task.speedLimitPercent * (1 - cut));
      changes.push({
        task,
        percent: percent < MIN_SPEED_PERCENT ? 0 : percent,
      });
      excess -= load * cut;
    }
    return changes;
  }

  /** Gives pace back to the task that presses least, if there is room. */
  private raiseSpeedLimits(
    worker: WorkerState,
    nowMs: number,
  ): SpeedLimitChange[] {
    const uses = usesOf(worker, limitedCpu);
    const changes: SpeedLimitChange[] = [];
    for (const task of worker.tasks) {
      if (!task.step.usesLeftoverCpu || task.state !== 'running') continue;
      if (task.speedLimitPercent >= 100) continue;
      const percent = Math.min(
        100,
        task.speedLimitPercent + SPEED_INCREMENT_PERCENT,
      );
      const {cpuMillicores} = worker.registration.capacity;
      const gained = (percent - task.speedLimitPercent) / 100;
      const share = (task.step.cpuMillicores * gained) / cpuMillicores;
      uses.push({image: imageOf(task.step), share});
      const isFree = [...worker.tasks].every(
        (other) =>
          !isLatencyCritical(other) || this.freeLoad(other, uses, nowMs) > 0,
      );
      if (isFree) changes.push({task, percent});
      else uses.pop();
    }
    return changes;
  }

  /** Least free load by image of the tasks that serve on a worker. */
  private latencyCriticalLoads(
    worker: WorkerState,
    nowMs: number,
  ): readonly LatencyCriticalLoad[] {
    const cached = this.loads.get(worker);
    if (cached?.version === worker.version) return cached.loads;
    const byImage = new Map<string, number>();
    if (worker.latencyCriticalCount > 0) {
      const uses = usesOf(worker, requestedCpu);
      for (const task of worker.tasks) {
        if (!isLatencyCritical(task)) continue;
        const image = imageOf(task.step);
        const isOver = task.overLimitSinceMs < Infinity;
        const free = isOver ? 0 : this.freeLoad(task, uses, nowMs);
        byImage.set(image, Math.min(free, byImage.get(image) ?? 1));
      }
    }
    const loads = [...byImage].map(([image, free]) => ({image, free}));
    this.loads.set(worker, {version: worker.version, loads});
    return loads;
  }

  /** Load of a task that serves over what its limit allows; below 0 if none. */
  private excessOf(task: TaskState): number {
    if (!isRunningLatencyCritical(task)) return -1;
    const seen = this.interference.observedLoadOf(task.name);
    if (seen === undefined) return -1;
    const image = imageOf(task.step);
    const limit = this.interference.loadAt(image, task.step.tailTargetMs);
    return seen - limit + SLOWDOWN_MARGIN;
  }

  /** Load that a task that serves can still take within its limit. */
  private freeLoad(
    task: TaskState,
    uses: readonly FillUsage[],
    nowMs: number,
  ): number {
    const image = imageOf(task.step);
    const group = groupOf(task);
    const {interference} = this;
    const own = Math.max(
      interference.ownLoadOf(group, nowMs),
      interference.ownLoadOf(group, nowMs + FORECAST_MS),
    );
    const limit = interference.loadAt(image, task.step.tailTargetMs);
    let free = limit - own;
    for (const use of uses) {
      free -= interference.pressureOf(image, use.image) * use.share;
    }
    return free;
  }

  /** Load by a task on the one that it presses most. */
  private pressureOn(
    worker: WorkerState,
    bestEffortTask: TaskState,
    tasks: readonly TaskState[],
  ): number {
    const share =
      limitedCpu(bestEffortTask) / worker.registration.capacity.cpuMillicores;
    const pressures = tasks.map(({step}) =>
      this.interference.pressureOf(imageOf(step), imageOf(bestEffortTask.step)),
    );
    return Math.max(MIN_PRESSURE, Math.max(...pressures) * share);
  }
}

/** Tasks of one step of one occurrence share their load. */
function groupOf({job, position}: TaskState): string {
  return `${job.definition.id}.${position.occurrence}.${position.step}`;
}

function imageOf(step: StepDefinition): string {
  return step.image ?? NO_IMAGE;
}

function isLatencyCritical(task: TaskState): boolean {
  return task.step.tailTargetMs > 0;
}

function isRunningLatencyCritical(task: TaskState): boolean {
  return isLatencyCritical(task) && task.state === 'running';
}

function isActiveBestEffort(task: TaskState): boolean {
  return (
    task.step.usesLeftoverCpu &&
    task.state === 'running' &&
    task.speedLimitPercent > 0
  );
}

function requestedCpu(task: TaskState): number {
  return task.step.cpuMillicores;
}

function limitedCpu(task: TaskState): number {
  return (task.step.cpuMillicores * task.speedLimitPercent) / 100;
}

/** Use of a worker's processors by image. */
function usesOf(
  worker: WorkerState,
  cpuOf: (task: TaskState) => number,
): FillUsage[] {
  const {cpuMillicores} = worker.registration.capacity;
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
