import {JobState} from '../jobs/job_state.js';
import {WorkerState} from './worker_state.js';

/** Counts of jobs, tasks and workers of a partition, for logs and metrics. */
export interface LoadSummary {
  jobs: number;
  /** Tasks whose predecessors are done and that wait for a worker. */
  waitingTasks: number;
  /** Best-effort tasks among the waiting tasks. */
  waitingFills: number;
  /** Long-running tasks among the waiting tasks. */
  waitingLasting: number;
  runningTasks: number;
  runningFills: number;
  workers: number;
  /** Workers that run at least one latency-critical task. */
  servingWorkers: number;
  /** Running tasks whose speed limit is below 100%. */
  pacedFills: number;
  /** Cores that are still available to best-effort tasks. */
  leftoverCores: number;
}

const MILLICORES_PER_CORE = 1000;

/** Summarizes the unfinished jobs and all workers of a partition. */
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
