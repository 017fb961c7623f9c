import {Resources} from '../../src/workers/resources.js';
import {ColocationJob, ColocationWork} from './colocation_work.js';

/** A task on a simulated worker. */
export interface SimulatedTask {
  job: ColocationJob;
  /** What the worker's guard enforces. */
  enforced: Resources;
  beginsMs: number;
  progress: number;
  /** Progress that an eviction or the end of the VM leaves. */
  checkpoint: number;
  checkpointMs: number;
  speed: number;
  /** Reports lag by one interval of reports. */
  laggingSpeed: number;
  laggingUsage: Resources;
}

/** How a task on a simulated worker ended. */
export type SimulatedEnd = 'finished' | 'failed' | 'out-of-memory';

const CHECKPOINT_EVERY_MS = 10_000;
const FAILS_AFTER = 0.5;
/** Memory grows to its full size during this part of the work. */
const MEMORY_GROWS_UNTIL = 0.3;
const BROKEN_FAILS_AFTER_MS = 500;
const NOTHING = {processors: 0, memoryMegabytes: 0, accelerators: 0};

/** A worker at the level of its interface, with time that the caller moves. */
export class SimulatedWorker {
  readonly tasks = new Map<string, SimulatedTask>();
  failsEverything = false;
  isAlive = true;
  violations = 0;
  private readonly kinds = new Map<string, number>();

  constructor(
    readonly worker: string,
    readonly capacity: Resources,
    private readonly work: ColocationWork,
  ) {}

  start(
    job: ColocationJob,
    options: {enforced: Resources; beginsMs: number; progress: number},
  ): void {
    const {enforced, beginsMs, progress} = options;
    if (!this.isAlive || this.tasks.has(job.job)) this.violations += 1;
    this.tasks.set(job.job, {
      job,
      enforced,
      beginsMs,
      progress,
      checkpoint: progress,
      checkpointMs: beginsMs,
      speed: 1,
      laggingSpeed: 1,
      laggingUsage: NOTHING,
    });
    this.kinds.set(job.kind, (this.kinds.get(job.kind) ?? 0) + 1);
    this.checkCapacity();
  }

  /** Ends a task; returns it, or undefined if it doesn't run here. */
  stop(job: string): SimulatedTask | undefined {
    const task = this.tasks.get(job);
    if (!task) return undefined;
    this.tasks.delete(job);
    const left = this.kinds.get(task.job.kind)! - 1;
    if (left > 0) this.kinds.set(task.job.kind, left);
    else this.kinds.delete(task.job.kind);
    return task;
  }

  /** Moves time forward; returns the tasks that ended. */
  advance(
    nowMs: number,
    tickMs: number,
  ): Array<{task: SimulatedTask; end: SimulatedEnd}> {
    const ended: Array<{task: SimulatedTask; end: SimulatedEnd}> = [];
    for (const task of this.tasks.values()) {
      if (task.beginsMs > nowMs) continue;
      this.run(task, {nowMs, tickMs});
      const end = this.endOf(task, nowMs);
      if (end) ended.push({task, end});
    }
    for (const {task} of ended) this.stop(task.job.job);
    return ended;
  }

  /** What a report shows now; measurements lag by one report. */
  report(): Array<{task: SimulatedTask; usage: Resources; speed: number}> {
    return [...this.tasks.values()].map((task) => {
      const shown = {
        task,
        usage: task.laggingUsage,
        speed: task.laggingSpeed,
      };
      task.laggingSpeed = task.speed;
      task.laggingUsage = this.usageOf(task);
      return shown;
    });
  }

  private run(
    task: SimulatedTask,
    {nowMs, tickMs}: {nowMs: number; tickMs: number},
  ): void {
    const {job, enforced} = task;
    const share = Math.min(1, enforced.processors / job.actual.processors);
    task.speed = share / this.work.slowdown(job.kind, this.kinds, nowMs);
    if (job.actualRunTimeMs > 0) {
      task.progress += (tickMs * task.speed) / job.actualRunTimeMs;
    }
    if (nowMs - task.checkpointMs >= CHECKPOINT_EVERY_MS) {
      task.checkpoint = task.progress;
      task.checkpointMs = nowMs;
    }
  }

  private endOf(task: SimulatedTask, nowMs: number): SimulatedEnd | undefined {
    const {job, enforced} = task;
    const isBroken =
      this.failsEverything && nowMs - task.beginsMs >= BROKEN_FAILS_AFTER_MS;
    if (isBroken || (job.fails && task.progress >= FAILS_AFTER)) {
      return 'failed';
    }
    if (this.memoryOf(task) > enforced.memoryMegabytes) return 'out-of-memory';
    return task.progress >= 1 ? 'finished' : undefined;
  }

  private usageOf(task: SimulatedTask): Resources {
    const {job, enforced} = task;
    return {
      processors: Math.min(enforced.processors, job.actual.processors),
      memoryMegabytes: Math.min(enforced.memoryMegabytes, this.memoryOf(task)),
      accelerators: job.actual.accelerators,
    };
  }

  private memoryOf({job, progress}: SimulatedTask): number {
    const isEndless = job.actualRunTimeMs === 0;
    const grown = isEndless ? 1 : Math.min(1, progress / MEMORY_GROWS_UNTIL);
    return job.actual.memoryMegabytes * (0.5 + 0.5 * grown);
  }

  private checkCapacity(): void {
    const sum = {processors: 0, memoryMegabytes: 0, accelerators: 0};
    for (const {enforced} of this.tasks.values()) {
      sum.processors += enforced.processors;
      sum.memoryMegabytes += enforced.memoryMegabytes;
      sum.accelerators += enforced.accelerators;
    }
    const isBeyond =
      sum.processors > this.capacity.processors + 1e-6 ||
      sum.memoryMegabytes > this.capacity.memoryMegabytes + 1e-6 ||
      sum.accelerators > this.capacity.accelerators;
    if (isBeyond) this.violations += 1;
  }
}
