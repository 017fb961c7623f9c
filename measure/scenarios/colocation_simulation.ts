import {build} from 'hdr-histogram-js';

import {Clock} from '../../src/clock/clock.js';
import {ManualClock} from '../../src/clock/manual_clock.js';
import {Urgency} from '../../src/contracts/urgency.js';
import {SlowdownModel} from '../../src/interference/slowdown_model.js';
import {
  ResourceEstimator,
  SizeOutcome,
} from '../../src/placement/resource_estimator.js';
import {PlacementPolicy} from '../../src/placement/placement_policy.js';
import {HealthState, WorkerHealth} from '../../src/placement/worker_health.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Resources} from '../../src/workers/resources.js';
import {ColocationJob, ColocationWorkload} from './colocation_workload.js';
import {
  ColocationTaskEnd,
  ColocationTask,
  ColocationWorker,
} from './colocation_worker.js';

/** Options of {@link ColocationSimulation}. */
export interface ColocationSimulationOptions {
  seed: number;
  /** Simulated time in ms. */
  durationMs: number;
  /** Creates the policy; `model` learns from the reports of the workers. */
  createPolicy: (model: SlowdownModel, clock: Clock) => PlacementPolicy;
  /** Whether to commit learned instead of declared sizes. @default false */
  learnsSizes?: boolean;
}

/** Metrics of one simulation. */
export interface ColocationMetrics {
  /** CPU seconds of the finished renders, without interference. */
  batchWorkSeconds: number;
  batchFinished: number;
  urgentFinished: number;
  urgentStartP50Ms: number;
  urgentStartP99Ms: number;
  /** Fraction of the finished previews that missed their objective, 0 to 1. */
  sloMissPart: number;
  evictions: number;
  outOfMemory: number;
  /** Number of workers that were ever taken out of service as unhealthy. */
  drained: number;
  /** Number of jobs that were abandoned because they were at fault. */
  jobsGivenUp: number;
  /** Number of violated guarantees. */
  violations: number;
}

/** State of a job, whether it waits or runs. */
interface JobRecord {
  job: ColocationJob;
  progress: number;
  /** Memory limit in MB under which the last attempt ran out of memory. */
  insufficientMegabytes: number;
  excludedWorkers: Set<string>;
  /** Run time in ms of earlier attempts. */
  ranMs: number;
  firstStartMs?: number;
  isEnded: boolean;
}

const TICK_MS = 100;
const REPORT_INTERVAL_MS = 4_000;
const WORKER_COUNT = 45;
const WORKERS_PER_RACK = 11;
const ACCELERATORS_PER_WORKER = 6;
const START_DELAY_MS = 100;
const EVICTION_DELAY_MS = 400;
/**
 * Work in ms that a restart loses in addition to the work since the checkpoint.
 */
const RESTART_COST_MS = 2_000;
const WATCHER_COUNT = 60;
const NON_URGENT_QUEUE_LENGTH = 100;
/** Refusals after which a pass skips a kind, so that other kinds can start. */
const MAX_REFUSALS_PER_KIND = 2;
/**
 * Objective of a preview: this multiple of its undisturbed run time, plus 1 s.
 */
const SLO_FACTOR = 1.5;
const SLO_ALLOWANCE_MS = 1_000;
const MEMORY_RETRY_FACTOR = 1.6;
/** CPU use above this fraction of the limit counts as limited by it. */
const CPU_LIMITED_FRACTION = 0.97;

/**
 * Runs the colocation workload and its faults with one policy in simulated
 * time.
 */
export class ColocationSimulation {
  private readonly clock = new ManualClock();
  private readonly workload: ColocationWorkload;
  private readonly workers = new Map<string, ColocationWorker>();
  private readonly model = new SlowdownModel(this.clock, {
    lagMs: REPORT_INTERVAL_MS,
  });
  private readonly estimates = new ResourceEstimator();
  private readonly health = new WorkerHealth(this.clock);
  private readonly policy: PlacementPolicy;
  private readonly running = new Map<string, JobRecord>();
  private urgentQueue: JobRecord[] = [];
  private nonUrgentQueue: JobRecord[] = [];
  private readonly startDelays = build({numberOfSignificantValueDigits: 3});
  private sloMisses = 0;
  private readonly counters = {
    batchWorkSeconds: 0,
    batchFinished: 0,
    urgentFinished: 0,
    evictions: 0,
    outOfMemory: 0,
    jobsGivenUp: 0,
    violations: 0,
  };
  private readonly drainedWorkers = new Set<string>();

  constructor(private readonly options: ColocationSimulationOptions) {
    this.workload = new ColocationWorkload(options);
    this.policy = options.createPolicy(this.model, this.clock);
    for (let i = 0; i < WORKER_COUNT; i++) this.addWorker(i);
    this.nonUrgentQueue = this.workload
      .watchers(WATCHER_COUNT)
      .map(createJobRecord);
  }

  /** Runs the simulation to its end and returns the metrics. */
  run(): ColocationMetrics {
    while (this.clock.nowMs() < this.options.durationMs) this.tick();
    for (const worker of this.workers.values()) {
      this.counters.violations += worker.violations;
    }
    const finished = Math.max(1, this.counters.urgentFinished);
    return {
      ...this.counters,
      urgentStartP50Ms: this.startDelays.getValueAtPercentile(50),
      urgentStartP99Ms: this.startDelays.getValueAtPercentile(99),
      sloMissPart: this.sloMisses / finished,
      drained: this.drainedWorkers.size,
    };
  }

  private addWorker(index: number): void {
    const worker = `w${index}`;
    const hasAccelerators = index % WORKERS_PER_RACK === 0 || index === 5;
    const capacity = {
      processors: 32,
      memoryMegabytes: 125_000,
      accelerators: hasAccelerators && index < 60 ? ACCELERATORS_PER_WORKER : 0,
    };
    const rack = `rack-${Math.floor(index / WORKERS_PER_RACK)}`;
    this.policy.addWorker({worker, rack, capacity});
    this.health.addWorker(worker);
    this.workers.set(
      worker,
      new ColocationWorker(worker, capacity, this.workload),
    );
  }

  private tick(): void {
    this.clock.advance(TICK_MS);
    const nowMs = this.clock.nowMs();
    this.applyFaults(nowMs);
    this.urgentQueue.push(
      ...this.workload.previews(nowMs, TICK_MS).map(createJobRecord),
    );
    while (this.nonUrgentQueue.length < NON_URGENT_QUEUE_LENGTH) {
      this.nonUrgentQueue.push(createJobRecord(this.workload.render(nowMs)));
    }
    let index = 0;
    for (const worker of this.workers.values()) {
      if (!worker.isAlive) continue;
      for (const {task, end} of worker.advance(nowMs, TICK_MS)) {
        this.handleTaskEnd(worker, {task, end});
      }
      const phase = (index++ * TICK_MS) % REPORT_INTERVAL_MS;
      if (nowMs % REPORT_INTERVAL_MS === phase) this.processReport(worker);
      this.applyHealth(worker);
    }
    this.urgentQueue = this.urgentQueue.filter(
      (record) => !this.startJob(record),
    );
    this.startNonUrgent();
  }

  /** Applies the same faults at the same times for each policy. */
  private applyFaults(nowMs: number): void {
    const {durationMs, seed} = this.options;
    const random = new SeededRandom(seed + 2);
    const broken = this.workers.get(`w${random.nextInteger(WORKER_COUNT)}`)!;
    const lost = this.workers.get(`w${random.nextInteger(WORKER_COUNT)}`)!;
    broken.failsEverything =
      nowMs > durationMs * 0.2 && nowMs < durationMs * 0.45;
    const isLost = nowMs > durationMs * 0.6 && nowMs < durationMs * 0.75;
    if (isLost && lost.isAlive) {
      for (const job of [...lost.tasks.keys()]) this.interruptTask(lost, job);
      lost.isAlive = false;
      this.policy.setAccepting(lost.worker, false);
    } else if (!isLost && !lost.isAlive) {
      lost.isAlive = true;
    }
  }

  private applyHealth(worker: ColocationWorker): void {
    const state = this.health.state(worker.worker);
    if (state !== HealthState.HEALTHY) this.drainedWorkers.add(worker.worker);
    const isProbed = state === HealthState.PROBING && worker.tasks.size === 0;
    const isAccepting = state === HealthState.HEALTHY || isProbed;
    this.policy.setAccepting(worker.worker, isAccepting);
  }

  private processReport(worker: ColocationWorker): void {
    const reports = worker.report();
    for (const {task, usage, speed} of reports) {
      const {job} = task;
      this.estimates.report({taskId: job.jobId, usage, speed});
      this.policy.setLostWork(
        job.jobId,
        this.clock.nowMs() - task.checkpointMs,
      );
    }
    this.model.observeWorker(
      worker.worker,
      reports.map(({task, usage, speed}) => {
        const {job, limits} = task;
        const isLimited =
          usage.processors >= limits.processors * CPU_LIMITED_FRACTION;
        return {
          taskId: job.jobId,
          kind: job.kind,
          speed,
          throttle: 1,
          isLimited,
        };
      }),
    );
  }

  private estimateResources(job: ColocationJob): {resources: Resources} {
    const {kind, declared, declaredRunTimeMs: runTimeMs, urgency} = job;
    return this.estimates.estimate({kind, declared, runTimeMs, urgency});
  }

  private handleTaskEnd(
    worker: ColocationWorker,
    {task, end}: {task: ColocationTask; end: ColocationTaskEnd},
  ): void {
    const {job} = task;
    const record = this.running.get(job.jobId)!;
    this.running.delete(job.jobId);
    this.policy.release(job.jobId);
    const ranMs = record.ranMs + this.clock.nowMs() - task.startMs;
    const outcome = {
      finished: SizeOutcome.FINISHED,
      failed: SizeOutcome.OTHER,
      'out-of-memory': SizeOutcome.OUT_OF_MEMORY,
    }[end];
    this.estimates.end(job.jobId, {outcome, ranMs});
    if (end !== 'out-of-memory') {
      const hasFailed = end === 'failed';
      const {kind} = job;
      this.health.record({
        worker: worker.worker,
        kind,
        job: job.jobId,
        hasFailed,
      });
    }
    if (end === 'finished') this.finishJob(record);
    else this.retryJob(record, {worker, task, end});
  }

  private finishJob(record: JobRecord): void {
    const {job} = record;
    if (record.isEnded) this.counters.violations += 1;
    record.isEnded = true;
    this.health.removeJob(job.jobId);
    if (job.urgency === Urgency.URGENT) {
      this.counters.urgentFinished += 1;
      const tookMs = this.clock.nowMs() - job.arrivedMs;
      const limitMs = job.actualRunTimeMs * SLO_FACTOR + SLO_ALLOWANCE_MS;
      if (tookMs > limitMs) this.sloMisses += 1;
    } else {
      this.counters.batchFinished += 1;
      this.counters.batchWorkSeconds +=
        (job.actual.processors * job.actualRunTimeMs) / 1000;
    }
  }

  private retryJob(
    record: JobRecord,
    ended: {
      worker: ColocationWorker;
      task: ColocationTask;
      end: ColocationTaskEnd;
    },
  ): void {
    const {worker, task, end} = ended;
    record.progress = task.checkpoint;
    if (end === 'out-of-memory') {
      this.counters.outOfMemory += 1;
      record.insufficientMegabytes = task.limits.memoryMegabytes;
    } else {
      record.excludedWorkers.add(worker.worker);
      if (this.health.isJobAtFault(record.job.jobId)) {
        this.counters.jobsGivenUp += 1;
        this.health.removeJob(record.job.jobId);
        return;
      }
    }
    this.enqueue(record);
  }

  private enqueue(record: JobRecord): void {
    if (record.job.urgency === Urgency.URGENT) this.urgentQueue.push(record);
    else this.nonUrgentQueue.unshift(record);
  }

  private startNonUrgent(): void {
    const remaining: JobRecord[] = [];
    const refused = new Map<string, number>();
    for (const record of this.nonUrgentQueue) {
      const {kind} = record.job;
      const refusals = refused.get(kind) ?? 0;
      if (refusals < MAX_REFUSALS_PER_KIND && this.startJob(record)) continue;
      refused.set(kind, refusals + 1);
      remaining.push(record);
    }
    this.nonUrgentQueue = remaining;
  }

  private startJob(record: JobRecord): boolean {
    const {job} = record;
    const resources = this.requestedResources(record);
    const request = {
      taskId: job.jobId,
      customer: job.customer,
      kind: job.kind,
      urgency: job.urgency,
      resources,
      spreadGroup: job.spreadGroup,
      excludedWorkers: record.excludedWorkers,
      runTimeMs: job.declaredRunTimeMs,
      value: job.value,
    };
    const placement = this.policy.place(request);
    if (!placement) return false;
    const worker = this.workers.get(placement.worker)!;
    for (const victim of placement.victims) {
      this.counters.evictions += 1;
      this.interruptTask(worker, victim);
    }
    this.policy.commit({...request, worker: worker.worker, lostWorkMs: 0});
    const delayMs =
      START_DELAY_MS + (placement.victims.length > 0 ? EVICTION_DELAY_MS : 0);
    const startMs = this.clock.nowMs() + delayMs;
    worker.start(job, {
      limits: resources,
      startMs,
      progress: record.progress,
    });
    const {declared, declaredRunTimeMs: runTimeMs} = job;
    const task = {taskId: job.jobId, kind: job.kind, urgency: job.urgency};
    this.estimates.start({...task, declared, runTimeMs, committed: resources});
    this.recordStart(record, startMs);
    return true;
  }

  private recordStart(record: JobRecord, startMs: number): void {
    this.running.set(record.job.jobId, record);
    if (record.firstStartMs !== undefined) return;
    record.firstStartMs = startMs;
    if (record.job.urgency !== Urgency.URGENT) return;
    this.startDelays.recordValue(startMs - record.job.arrivedMs);
  }

  private requestedResources({
    job,
    insufficientMegabytes,
  }: JobRecord): Resources {
    const base = this.options.learnsSizes
      ? this.estimateResources(job).resources
      : job.declared;
    const minMegabytes = insufficientMegabytes * MEMORY_RETRY_FACTOR;
    return {
      ...base,
      memoryMegabytes: Math.max(base.memoryMegabytes, minMegabytes),
    };
  }

  /**
   * Stops a task that is evicted or lost with its worker, and enqueues its job
   * to resume from the checkpoint.
   */
  private interruptTask(worker: ColocationWorker, jobName: string): void {
    const task = worker.stop(jobName);
    const record = this.running.get(jobName);
    if (!task || !record) {
      this.counters.violations += 1;
      return;
    }
    this.running.delete(jobName);
    this.policy.release(jobName);
    const {actualRunTimeMs} = task.job;
    const restartCost =
      actualRunTimeMs > 0 ? RESTART_COST_MS / actualRunTimeMs : 0;
    record.progress = Math.max(0, task.checkpoint - restartCost);
    record.ranMs += Math.max(0, this.clock.nowMs() - task.startMs);
    this.estimates.end(jobName, {outcome: SizeOutcome.OTHER, ranMs: 0});
    this.enqueue(record);
  }
}

function createJobRecord(job: ColocationJob): JobRecord {
  return {
    job,
    progress: 0,
    insufficientMegabytes: 0,
    excludedWorkers: new Set(),
    ranMs: 0,
    isEnded: false,
  };
}
