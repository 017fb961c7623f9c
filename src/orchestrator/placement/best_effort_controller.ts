import {
  BestEffortUsage,
  TailInterference,
} from '../../interference/tail_interference.js';
import {StepDefinition} from '../../work/job_definition.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Placeholder for the image of tasks that specify none. */
const NO_IMAGE = '';

/**
 * Distance of a measured load from its limit at which best-effort tasks are
 * throttled.
 */
const SLOWDOWN_MARGIN = 0.01;

/** Speed limit in percent below which a task is paused instead. */
const MIN_SPEED_PERCENT = 10;

/**
 * Share of its CPU request from which an inherited task counts as not limited;
 * reported use is rough.
 */
const FULL_SPEED_USE = 0.7;

/** Percentage points by which a speed limit is raised at a time. */
const SPEED_INCREMENT_PERCENT = 30;

/** Distance of a measured load from its limit at which polls are faster. */
const NEAR_LIMIT_MARGIN = 0.06;

/** Additional load to cut per second that a tail latency is over its limit. */
const CUT_GROWTH_PER_SECOND = 0.15;

/** Lower bound of the load attributed to a best-effort task when throttling. */
const MIN_PRESSURE = 0.005;

/** Minimum time in ms between changes; gauges cover the last half second. */
const CHANGE_INTERVAL_MS = 450;

/** Time in ms before a report that its gauges cover. */
const GAUGE_WINDOW_MS = 500;

/** Time in ms ahead for which the load of latency-critical tasks is forecast. */
const FORECAST_MS = 500;

const MS_PER_SECOND = 1000;

/** New speed limit of a task. */
export interface SpeedLimitChange {
  task: TaskState;
  /** Percentage of full speed; 0 pauses the task. */
  percent: number;
}

/** Effect of one more best-effort task on the latency-critical tasks. */
export interface BestEffortHeadroom {
  /** Load that stays free on the task that is closest to its limit. */
  headroom: number;
  /** Load that is put on the task that is affected most. */
  pressure: number;
}

interface LatencyCriticalLoad {
  image: string;
  /** Smallest free load of the tasks of the image. */
  free: number;
}

interface CachedLoads {
  version: number;
  loads: readonly LatencyCriticalLoad[];
}

/** CPU use of a best-effort task in the latest report that listed it. */
interface RecentUse extends BestEffortUsage {
  lastReportedMs: number;
}

/**
 * Decides which best-effort tasks may run next to latency-critical tasks and at
 * which speed, based on the interference estimated from measurements.
 */
export class BestEffortController {
  readonly interference = new TailInterference();
  private readonly loads = new WeakMap<WorkerState, CachedLoads>();
  private readonly recentUses = new WeakMap<
    WorkerState,
    Map<string, RecentUse>
  >();

  /** Updates the interference model with the gauges of a worker report. */
  observe(worker: WorkerState, nowMs: number): void {
    worker.version += 1;
    const uses = this.usesInWindow(worker, nowMs);
    worker.isNearLimit = false;
    for (const task of worker.tasks) {
      if (!task.isSpeedKnown) adoptSpeed(task, nowMs);
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

  /** Removes the tasks of a job that has ended from the model. */
  removeTasks(tasks: Iterable<TaskState>): void {
    for (const task of tasks) {
      if (task.step.tailTargetMs === 0) continue;
      this.interference.removeGroup(groupOf(task), [task.name]);
    }
  }

  /**
   * Estimates the effect of one more task of a best-effort step on the
   * latency-critical tasks of a worker.
   */
  headroomFor(
    worker: WorkerState,
    step: StepDefinition,
    nowMs: number,
  ): BestEffortHeadroom {
    const share = step.cpuMillicores / worker.machineCpu;
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

  /** Chooses new speed limits after a report. */
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
   * Returns the CPU use of best-effort tasks in the time that the gauges of the
   * latest report cover. Tasks that ended in that time count in proportion.
   */
  private usesInWindow(worker: WorkerState, nowMs: number): BestEffortUsage[] {
    const recent = this.recentUses.get(worker) ?? new Map<string, RecentUse>();
    this.recentUses.set(worker, recent);
    for (const task of worker.tasks) {
      if (!task.step.usesLeftoverCpu || task.state !== 'running') continue;
      const share = (task.gauge ?? 0) / worker.machineCpu;
      recent.set(task.name, {
        image: imageOf(task.step),
        share,
        lastReportedMs: nowMs,
      });
    }
    const uses: BestEffortUsage[] = [];
    for (const [name, {image, share, lastReportedMs}] of recent) {
      const fraction = 1 - (nowMs - lastReportedMs) / GAUGE_WINDOW_MS;
      if (fraction <= 0) recent.delete(name);
      else uses.push({image, share: share * fraction});
    }
    return sumByImage(uses);
  }

  /**
   * Throttles the best-effort tasks with the most interference first, until the
   * latency-critical tasks are within their limits.
   */
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

  /** Raises speed limits while all latency-critical tasks keep headroom. */
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
      const gained = (percent - task.speedLimitPercent) / 100;
      const share = (task.step.cpuMillicores * gained) / worker.machineCpu;
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

  /** Returns the smallest free load of latency-critical tasks by image. */
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

  /** Returns the load of a task above its limit; negative if it is below. */
  private excessOf(task: TaskState): number {
    if (!isRunningLatencyCritical(task)) return -1;
    const seen = this.interference.observedLoadOf(task.name);
    if (seen === undefined) return -1;
    const image = imageOf(task.step);
    const limit = this.interference.loadAt(image, task.step.tailTargetMs);
    return seen - limit + SLOWDOWN_MARGIN;
  }

  /**
   * Returns the load that a latency-critical task can take within its limit.
   */
  private freeLoad(
    task: TaskState,
    uses: readonly BestEffortUsage[],
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

  /** Returns the load by a best-effort task on the task it affects most. */
  private pressureOn(
    worker: WorkerState,
    bestEffortTask: TaskState,
    tasks: readonly TaskState[],
  ): number {
    const share = limitedCpu(bestEffortTask) / worker.machineCpu;
    const pressures = tasks.map(({step}) =>
      this.interference.pressureOf(imageOf(step), imageOf(bestEffortTask.step)),
    );
    return Math.max(MIN_PRESSURE, Math.max(...pressures) * share);
  }
}

/**
 * Takes the CPU in use of an inherited best-effort task for its speed limit. The
 * limit is raised before the task is moved because of it.
 */
function adoptSpeed(task: TaskState, nowMs: number): void {
  if (!task.step.usesLeftoverCpu || task.state !== 'running') return;
  if (task.gauge === undefined) return;
  const use = task.gauge / task.step.cpuMillicores;
  task.isSpeedKnown = true;
  task.lastMovedMs = nowMs;
  if (use < FULL_SPEED_USE) task.speedLimitPercent = Math.floor(use * 100);
}

/** Returns the load group: tasks of a step share one load per occurrence. */
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

/** Returns the share of a worker's CPU by image of the best-effort tasks. */
function usesOf(
  worker: WorkerState,
  cpuOf: (task: TaskState) => number,
): BestEffortUsage[] {
  const uses: BestEffortUsage[] = [];
  for (const task of worker.tasks) {
    if (!task.step.usesLeftoverCpu) continue;
    const share = cpuOf(task) / worker.machineCpu;
    uses.push({image: imageOf(task.step), share});
  }
  return sumByImage(uses);
}

function sumByImage(uses: Iterable<BestEffortUsage>): BestEffortUsage[] {
  const shares = new Map<string, number>();
  for (const {image, share} of uses) {
    shares.set(image, (shares.get(image) ?? 0) + share);
  }
  return [...shares].map(([image, share]) => ({image, share}));
}
