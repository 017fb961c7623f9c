import {Clock} from '../clock/clock.js';
import {StateChart} from '../state_charts/state_chart.js';
import {JobFailures} from './job_failures.js';
import {KindFailures} from './kind_failures.js';
import chart from './worker_health_chart.json' with {type: 'json'};

/** Health of a worker, which determines what may be placed on it. */
export const HealthState = {
  /** Accepts all work. */
  HEALTHY: 'healthy',
  /** Accepts no new work. */
  DRAINING: 'draining',
  /** Accepts one cheap task at a time. */
  PROBING: 'probing',
} as const;

/** One of the values of {@link HealthState}. */
export type HealthState = (typeof HealthState)[keyof typeof HealthState];

type HealthEvent = 'condemn' | 'rested' | 'takeBack' | 'probeFailed';

/** End of a task, as evidence of the health of its worker. */
export interface TaskEnd {
  worker: string;
  kind: string;
  /** Job of the task; repeated failures of it on one worker count once. */
  job: string;
  hasFailed: boolean;
}

/** Options of {@link WorkerHealth}. */
export interface WorkerHealthOptions {
  /**
   * Evidence (log-likelihood ratio) at which a worker is drained.
   *
   * @default 9
   */
  threshold?: number;
  /**
   * Time in ms without work before the first probe; doubles with each failed
   * probe.
   *
   * @default 15000
   */
  probeDelayMs?: number;
  /** Maximum time in ms without work before a probe. @default 300000 */
  maxProbeDelayMs?: number;
  /** Consecutive probes that must succeed. @default 2 */
  requiredProbes?: number;
  /**
   * Maximum fraction of the workers that are drained or probed at once; one
   * worker is always allowed.
   *
   * @default 0.25
   */
  maxUnhealthyFraction?: number;
}

interface WorkerState {
  state: HealthState;
  evidence: number;
  failedJobs: Set<string>;
  probeDelayMs: number;
  probeAtMs: number;
  probesPassed: number;
}

/** Assumed failure rate of tasks on a broken worker. */
const FAILURE_RATE_IF_BROKEN = 0.95;
/** Maximum number of failed jobs kept for each worker. */
const MAX_FAILED_JOBS = 32;
/** Number of healthy workers on which a job at fault must have failed. */
const MIN_WORKERS_FOR_JOB_FAULT = 3;
const STATES = new StateChart<HealthState, HealthEvent>(chart);

/**
 * Detects workers on which every task fails, by a sequential likelihood ratio
 * test. Each ended task is compared with the failure rate of its kind on other
 * workers: a failure is evidence against the worker only if the kind succeeds
 * elsewhere.
 */
export class WorkerHealth {
  private readonly workers = new Map<string, WorkerState>();
  private readonly kinds = new KindFailures();
  private readonly jobs = new JobFailures();
  private readonly options: Required<WorkerHealthOptions>;
  private unhealthyCount = 0;

  constructor(
    private readonly clock: Clock,
    options: WorkerHealthOptions = {},
  ) {
    this.options = {
      threshold: 9,
      probeDelayMs: 15_000,
      maxProbeDelayMs: 300_000,
      requiredProbes: 2,
      maxUnhealthyFraction: 0.25,
      ...options,
    };
  }

  /** Adds a worker; a known worker keeps its state. */
  addWorker(worker: string): void {
    if (this.workers.has(worker)) return;
    this.workers.set(worker, {
      state: STATES.initial,
      evidence: 0,
      failedJobs: new Set(),
      probeDelayMs: this.options.probeDelayMs,
      probeAtMs: 0,
      probesPassed: 0,
    });
  }

  /** Removes a worker and its evidence. */
  removeWorker(worker: string): void {
    const state = this.workers.get(worker);
    if (state && state.state !== HealthState.HEALTHY) this.unhealthyCount -= 1;
    this.workers.delete(worker);
  }

  /** Returns the current state of a worker; an unknown worker is healthy. */
  state(worker: string): HealthState {
    const state = this.workers.get(worker);
    if (!state) return HealthState.HEALTHY;
    const isProbeDue = this.clock.nowMs() >= state.probeAtMs;
    if (state.state === HealthState.DRAINING && isProbeDue) {
      this.change(state, 'rested');
    }
    return state.state;
  }

  /**
   * Records the end of a task. Evictions and cancellations must be left out.
   */
  record(end: TaskEnd): void {
    this.addWorker(end.worker);
    const state = this.workers.get(end.worker)!;
    if (this.state(end.worker) === HealthState.PROBING) {
      this.onProbeEnded(state, end);
    } else if (!(end.hasFailed && state.failedJobs.has(end.job))) {
      this.updateEvidence(state, end);
    }
    this.kinds.record(end);
  }

  /**
   * Returns whether a job failed on three different healthy workers. The job
   * itself is then at fault and should end as failed.
   */
  isJobAtFault(job: string): boolean {
    let healthy = 0;
    for (const worker of this.jobs.evidenceByWorker(job).keys()) {
      if (this.state(worker) === HealthState.HEALTHY) healthy += 1;
    }
    return healthy >= MIN_WORKERS_FOR_JOB_FAULT;
  }

  /** Removes the failures of a job that has ended. */
  removeJob(job: string): void {
    this.jobs.delete(job);
  }

  /** Updates the evidence against a worker and drains it at the threshold. */
  private updateEvidence(state: WorkerState, end: TaskEnd): void {
    const rateOnOtherWorkers = this.kinds.rateOnOtherWorkers(end);
    const odds = end.hasFailed
      ? FAILURE_RATE_IF_BROKEN / rateOnOtherWorkers
      : (1 - FAILURE_RATE_IF_BROKEN) / (1 - rateOnOtherWorkers);
    const evidence = Math.log(odds);
    state.evidence = Math.max(0, state.evidence + evidence);
    if (end.hasFailed) this.recordFailure(state, {...end, evidence});
    else state.failedJobs.clear();
    const isBroken = state.evidence >= this.options.threshold;
    if (isBroken && state.state === HealthState.HEALTHY && this.canDrain()) {
      this.change(state, 'condemn');
      this.scheduleProbe(state);
    }
  }

  /**
   * Records a failure. Once the job itself is at fault, withdraws the evidence
   * of its failures from all workers.
   */
  private recordFailure(
    state: WorkerState,
    failure: {worker: string; job: string; evidence: number},
  ): void {
    addFailedJob(state.failedJobs, failure.job);
    this.jobs.add(failure.job, failure);
    if (!this.isJobAtFault(failure.job)) return;
    for (const [worker, evidence] of this.jobs.evidenceByWorker(failure.job)) {
      const other = this.workers.get(worker);
      if (!other) continue;
      other.evidence = Math.max(0, other.evidence - Math.max(0, evidence));
      this.jobs.add(failure.job, {worker, evidence: 0});
    }
  }

  /**
   * Returns whether one more worker may be drained. The number is limited,
   * because draining does not help if many workers fail for a common cause.
   */
  private canDrain(): boolean {
    const maxUnhealthy = Math.max(
      1,
      this.options.maxUnhealthyFraction * this.workers.size,
    );
    return this.unhealthyCount + 1 <= maxUnhealthy;
  }

  private onProbeEnded(state: WorkerState, end: TaskEnd): void {
    if (end.hasFailed) {
      state.probeDelayMs = Math.min(
        state.probeDelayMs * 2,
        this.options.maxProbeDelayMs,
      );
      this.change(state, 'probeFailed');
      this.scheduleProbe(state);
      return;
    }
    state.probesPassed += 1;
    if (state.probesPassed < this.options.requiredProbes) return;
    this.change(state, 'takeBack');
    state.probeDelayMs = this.options.probeDelayMs;
    // Starts halfway to the threshold, so that a relapse is detected after
    // fewer failures.
    state.evidence = this.options.threshold / 2;
    state.failedJobs.clear();
  }

  private scheduleProbe(state: WorkerState): void {
    state.probeAtMs = this.clock.nowMs() + state.probeDelayMs;
    state.probesPassed = 0;
  }

  private change(state: WorkerState, event: HealthEvent): void {
    const next = STATES.next(state.state, event);
    if (next === undefined) return;
    const wasHealthy = state.state === HealthState.HEALTHY;
    const isHealthy = next === HealthState.HEALTHY;
    this.unhealthyCount += Number(wasHealthy) - Number(isHealthy);
    state.state = next;
  }
}

function addFailedJob(jobs: Set<string>, job: string): void {
  if (jobs.size >= MAX_FAILED_JOBS) jobs.delete(jobs.values().next().value!);
  jobs.add(job);
}
