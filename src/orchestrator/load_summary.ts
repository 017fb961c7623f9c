import {JobState} from './job_state.js';
import {WorkerState} from './worker_state.js';

/** State of a partition in figures, for logs and metrics. */
export interface LoadSummary {
  jobs: number;
  /** Tasks whose turn has come and that wait for a worker. */
  waitingTasks: number;
  /** Of those, tasks that run on leftover processors. */
  waitingFills: number;
  /** Of those, tasks that run until their job is cancelled. */
  waitingLasting: number;
  runningTasks: number;
  runningFills: number;
  workers: number;
  /** Workers with tasks that have a limit on their tail latency. */
  servingWorkers: number;
  /** Tasks on leftover processors that work more slowly than they could. */
  pacedFills: number;
  /** Cores that tasks on leftover processors could still use. */
  leftoverCores: number;
}

const MILLICORES_PER_CORE = 1000;

/** Counts what waits, what runs and what is free. */
export function summarizeLoad(
  jobs: Iterable<JobState>,
  workers: Iterable<WorkerState>,
): LoadSummary {
  const summary: LoadSummary = {
    jobs: 0,
    waitingTasks: 0,
    waitingFills: 0,
    waitingLasting: 0,
    runningTasks: 0,
    runningFills: 0,
    workers: 0,
    servingWorkers: 0,
    pacedFills: 0,
    leftoverCores: 0,
  };
  for (const job of jobs) if (!job.isFinal) countJob(job, summary);
  for (const worker of workers) countWorker(worker, summary);
  summary.leftoverCores = Math.round(summary.leftoverCores);
  return summary;
}

function countJob(job: JobState, summary: LoadSummary): void {
  summary.jobs += 1;
  for (const occurrence of job.occurrences.values()) {
    occurrence.steps.forEach(({tasks}, number) => {
      if (!job.isStepReady(occurrence, number)) return;
      for (const {state, step} of tasks) {
        if (state !== 'waiting') continue;
        summary.waitingTasks += 1;
        if (step.usesLeftoverCpu) summary.waitingFills += 1;
        if (step.isLongRunning) summary.waitingLasting += 1;
      }
    });
  }
}

function countWorker(worker: WorkerState, summary: LoadSummary): void {
  summary.workers += 1;
  if (worker.latencyCriticalCount > 0) summary.servingWorkers += 1;
  const {leftoverCpu} = worker;
  summary.leftoverCores += Math.max(0, leftoverCpu) / MILLICORES_PER_CORE;
  for (const {state, step, speedLimitPercent} of worker.tasks) {
    if (state !== 'running') continue;
    summary.runningTasks += 1;
    if (step.usesLeftoverCpu) summary.runningFills += 1;
    if (speedLimitPercent < 100) summary.pacedFills += 1;
  }
}
