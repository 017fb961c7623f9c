import {Resources} from '../../src/workers/resources.js';
import {ColocationJob, ColocationWorkload} from './colocation_workload.js';

/** Task on a simulated worker. */
export interface ColocationTask {
  job: ColocationJob;
  /** Resource limits that the worker enforces. */
  limits: Resources;
  startMs: number;
  progress: number;
  /** Progress that is kept after an eviction or the loss of the worker. */
  checkpoint: number;
  checkpointMs: number;
  speed: number;
  /** Speed in the next report; lags by one report interval. */
  reportedSpeed: number;
  /** Usage in the next report; lags by one report interval. */
  reportedUsage: Resources;
}

/** How a task on a simulated worker ended. */
export type ColocationTaskEnd = 'finished' | 'failed' | 'out-of-memory';

const CHECKPOINT_INTERVAL_MS = 10_000;
/** Progress at which a failing job fails. */
const FAILURE_PROGRESS = 0.5;
/** Progress at which memory has grown to its full size. */
const MEMORY_GROWTH_END = 0.3;
/** Run time in ms after which each task on a broken worker fails. */
const BROKEN_WORKER_FAILURE_MS = 500;
const NO_RESOURCES = {processors: 0, memoryMegabytes: 0, accelerators: 0};

/**
 * Simulated worker that starts, stops and reports tasks. The caller advances
 * its time.
 */
export class ColocationWorker {
  readonly tasks = new Map<string, ColocationTask>();
  /** Whether all tasks fail shortly after their start. */
  failsEverything = false;
  isAlive = true;
  /**
   * Number of duplicate starts, starts on a dead worker and overcommitments.
   */
  violations = 0;
  private readonly taskCountByKind = new Map<string, number>();

  constructor(
    readonly worker: string,
    readonly capacity: Resources,
    private readonly workload: ColocationWorkload,
  ) {}

  /** Starts a task at `startMs` from the given progress. */
  start(
    job: ColocationJob,
    options: {limits: Resources; startMs: number; progress: number},
  ): void {
    const {limits, startMs, progress} = options;
    if (!this.isAlive || this.tasks.has(job.jobId)) this.violations += 1;
    this.tasks.set(job.jobId, {
      job,
      limits,
      startMs,
      progress,
      checkpoint: progress,
      checkpointMs: startMs,
      speed: 1,
      reportedSpeed: 1,
      reportedUsage: NO_RESOURCES,
    });
    this.taskCountByKind.set(
      job.kind,
      (this.taskCountByKind.get(job.kind) ?? 0) + 1,
    );
    this.checkCapacity();
  }

  /** Removes a task; returns it, or undefined if it does not run here. */
  stop(job: string): ColocationTask | undefined {
    const task = this.tasks.get(job);
    if (!task) return undefined;
    this.tasks.delete(job);
    const remaining = this.taskCountByKind.get(task.job.kind)! - 1;
    if (remaining > 0) this.taskCountByKind.set(task.job.kind, remaining);
    else this.taskCountByKind.delete(task.job.kind);
    return task;
  }

  /** Advances the time to `nowMs`; returns the tasks that ended. */
  advance(
    nowMs: number,
    tickMs: number,
  ): Array<{task: ColocationTask; end: ColocationTaskEnd}> {
    const ended: Array<{task: ColocationTask; end: ColocationTaskEnd}> = [];
    for (const task of this.tasks.values()) {
      if (task.startMs > nowMs) continue;
      this.runTask(task, {nowMs, tickMs});
      const end = this.taskEnd(task, nowMs);
      if (end) ended.push({task, end});
    }
    for (const {task} of ended) this.stop(task.job.jobId);
    return ended;
  }

  /**
   * Returns the current report; its measurements lag by one report interval.
   */
  report(): Array<{task: ColocationTask; usage: Resources; speed: number}> {
    return [...this.tasks.values()].map((task) => {
      const reported = {
        task,
        usage: task.reportedUsage,
        speed: task.reportedSpeed,
      };
      task.reportedSpeed = task.speed;
      task.reportedUsage = this.resourceUsage(task);
      return reported;
    });
  }

  private runTask(
    task: ColocationTask,
    {nowMs, tickMs}: {nowMs: number; tickMs: number},
  ): void {
    const {job, limits} = task;
    const share = Math.min(1, limits.processors / job.actual.processors);
    task.speed =
      share / this.workload.slowdown(job.kind, this.taskCountByKind, nowMs);
    if (job.actualRunTimeMs > 0) {
      task.progress += (tickMs * task.speed) / job.actualRunTimeMs;
    }
    if (nowMs - task.checkpointMs >= CHECKPOINT_INTERVAL_MS) {
      task.checkpoint = task.progress;
      task.checkpointMs = nowMs;
    }
  }

  private taskEnd(
    task: ColocationTask,
    nowMs: number,
  ): ColocationTaskEnd | undefined {
    const {job, limits} = task;
    const isBroken =
      this.failsEverything && nowMs - task.startMs >= BROKEN_WORKER_FAILURE_MS;
    if (isBroken || (job.fails && task.progress >= FAILURE_PROGRESS)) {
      return 'failed';
    }
    if (this.memoryUsage(task) > limits.memoryMegabytes) return 'out-of-memory';
    return task.progress >= 1 ? 'finished' : undefined;
  }

  private resourceUsage(task: ColocationTask): Resources {
    const {job, limits} = task;
    return {
      processors: Math.min(limits.processors, job.actual.processors),
      memoryMegabytes: Math.min(limits.memoryMegabytes, this.memoryUsage(task)),
      accelerators: job.actual.accelerators,
    };
  }

  private memoryUsage({job, progress}: ColocationTask): number {
    const isEndless = job.actualRunTimeMs === 0;
    const growth = isEndless ? 1 : Math.min(1, progress / MEMORY_GROWTH_END);
    return job.actual.memoryMegabytes * (0.5 + 0.5 * growth);
  }

  private checkCapacity(): void {
    const sum = {processors: 0, memoryMegabytes: 0, accelerators: 0};
    for (const {limits} of this.tasks.values()) {
      sum.processors += limits.processors;
      sum.memoryMegabytes += limits.memoryMegabytes;
      sum.accelerators += limits.accelerators;
    }
    const exceedsCapacity =
      sum.processors > this.capacity.processors + 1e-6 ||
      sum.memoryMegabytes > this.capacity.memoryMegabytes + 1e-6 ||
      sum.accelerators > this.capacity.accelerators;
    if (exceedsCapacity) this.violations += 1;
  }
}
