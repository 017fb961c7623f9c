import {StepDefinition, TaskResources} from '../src/work/job_definition.js';
import {parseTaskName} from '../src/work/task_name.js';

/** A task and its step. */
export interface SampledTask {
  name: string;
  step: StepDefinition;
}

/** A worker that can start tasks. */
export interface SampledWorker {
  id: string;
  capacity: TaskResources;
  labels: readonly string[];
  running: readonly SampledTask[];
}

/** State of one service at a time. */
export interface ServiceSample {
  nowMs: number;
  /** Whether no fault is in effect. */
  isCalm: boolean;
  workers: readonly SampledWorker[];
  /**
   * Tasks that have not ended and whose turn has come, of jobs that have not
   * ended, also those that run.
   */
  dueTasks: readonly SampledTask[];
  /** Returns whether a worker may run a step. @default all may */
  isAllowed?: (step: string, workerId: string) => boolean;
}

/** Time in ms after the last fault from which the check applies. */
const CALM_MS = 4000;

/** Time in ms for which a job may have nothing running although it could. */
const MAX_IDLE_MS = 3000;

/** Time in ms after its last run from which a long-running task is checked. */
const RESTART_MS = 6000;

/** Number of times a task has to fit for its wait to be a violation. */
const FITS_REQUIRED = 2;

/**
 * Checks that work does not wait beside idle capacity: for 3 s nothing of a job
 * runs while a task's turn has come, there is capacity for it twice over, and
 * under half of the capacity of the service is in use. For long-running tasks it
 * holds for each of them, from 6 s after its last run.
 */
export class IdleCapacityCheck {
  private lastFaultMs = -Infinity;
  /** Time in ms since which a job or long-running task could run, by name. */
  private readonly idleSinceMs = new Map<string, number>();
  /** Time in ms at which a long-running task was last seen running. */
  private readonly lastRunMs = new Map<string, number>();

  /** Returns descriptions of the violations that a sample shows. */
  observe(sample: ServiceSample): string[] {
    const {nowMs, isCalm, workers} = sample;
    if (!isCalm) this.lastFaultMs = nowMs;
    for (const {name} of runningTasks(workers)) this.lastRunMs.set(name, nowMs);
    const idle = this.canApply(sample) ? this.findIdle(sample) : new Map();
    for (const name of [...this.idleSinceMs.keys()]) {
      if (!idle.has(name)) this.idleSinceMs.delete(name);
    }
    const violations: string[] = [];
    for (const [name, task] of idle as Map<string, SampledTask>) {
      const sinceMs = this.idleSinceMs.get(name) ?? nowMs;
      this.idleSinceMs.set(name, sinceMs);
      if (nowMs - sinceMs < MAX_IDLE_MS) continue;
      this.idleSinceMs.delete(name);
      violations.push(
        `${task.name} could run and does not (${nowMs - sinceMs} ms until ${nowMs})`,
      );
    }
    return violations;
  }

  private canApply({nowMs, workers}: ServiceSample): boolean {
    return nowMs - this.lastFaultMs >= CALM_MS && isUnderHalfUsed(workers);
  }

  /** Returns the jobs and long-running tasks that could run and do not. */
  private findIdle(sample: ServiceSample): Map<string, SampledTask> {
    const {nowMs, workers, dueTasks, isAllowed = () => true} = sample;
    const running = new Set(runningTasks(workers).map(({name}) => name));
    const runningJobs = new Set([...running].map(jobOf));
    const idle = new Map<string, SampledTask>();
    for (const task of dueTasks) {
      const {name, step} = task;
      const key = step.isLongRunning ? name : jobOf(name);
      if (idle.has(key) || running.has(name)) continue;
      if (step.isLongRunning) {
        const lastRunMs = this.lastRunMs.get(name) ?? -Infinity;
        if (nowMs - lastRunMs < RESTART_MS) continue;
      } else if (runningJobs.has(key)) {
        continue;
      }
      const allowed = workers.filter(({id}) => isAllowed(stepOf(name), id));
      if (countFits(task, allowed) >= requiredFits(step)) idle.set(key, task);
    }
    return idle;
  }
}

function requiredFits({isGang, taskCount}: StepDefinition): number {
  return FITS_REQUIRED * (isGang ? taskCount : 1);
}

/** Returns how many tasks of the step of a task fit on the workers. */
function countFits(
  task: SampledTask,
  workers: readonly SampledWorker[],
): number {
  return workers.reduce((sum, worker) => sum + fitsOn(task, worker), 0);
}

function fitsOn({name, step}: SampledTask, worker: SampledWorker): number {
  const {capacity, labels, running} = worker;
  if (capacity.cpuMillicores === 0) return 0;
  const {requiredLabel, mostPerWorker, usesLeftoverCpu} = step;
  if (requiredLabel && !labels.includes(requiredLabel)) return 0;
  const used = usageOf(running);
  const fits = [
    ratioOf(capacity.memoryMb - used.memoryMb, step.memoryMb),
    ratioOf(
      capacity.acceleratorCount - used.acceleratorCount,
      step.acceleratorCount,
    ),
  ];
  // Best-effort tasks do not count against the CPU of a worker.
  if (!usesLeftoverCpu) {
    const freeCpu = capacity.cpuMillicores - used.cpuMillicores;
    fits.push(ratioOf(freeCpu, step.cpuMillicores));
  }
  if (mostPerWorker > 0) {
    const siblings = running.filter(
      (other) => stepOf(other.name) === stepOf(name),
    );
    fits.push(mostPerWorker - siblings.length);
  }
  return Math.max(0, Math.min(...fits));
}

/** Returns how often a request fits into what is free. */
function ratioOf(free: number, requested: number): number {
  return requested === 0 ? Infinity : Math.floor(free / requested);
}

function isUnderHalfUsed(workers: readonly SampledWorker[]): boolean {
  const used = usageOf(runningTasks(workers));
  const sum = (get: (resources: TaskResources) => number): number =>
    workers.reduce((total, {capacity}) => total + get(capacity), 0);
  return (
    used.cpuMillicores < sum(({cpuMillicores}) => cpuMillicores) / 2 &&
    used.memoryMb < sum(({memoryMb}) => memoryMb) / 2
  );
}

function usageOf(tasks: readonly SampledTask[]): TaskResources {
  const used = {cpuMillicores: 0, memoryMb: 0, acceleratorCount: 0};
  for (const {step} of tasks) {
    if (!step.usesLeftoverCpu) used.cpuMillicores += step.cpuMillicores;
    used.memoryMb += step.memoryMb;
    used.acceleratorCount += step.acceleratorCount;
  }
  return used;
}

function runningTasks(workers: readonly SampledWorker[]): SampledTask[] {
  return workers.flatMap(({running}) => running);
}

function jobOf(task: string): string {
  return parseTaskName(task)!.jobId;
}

function stepOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
