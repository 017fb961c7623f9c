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
import {ColocationJob, ColocationWork} from './colocation_work.js';
import {
  SimulatedEnd,
  SimulatedTask,
  SimulatedWorker,
} from './colocation_worker.js';

/** Options of {@link ColocationRun}. */
export interface ColocationRunOptions {
  seed: number;
  durationMs: number;
  /** Creates the policy; the model is taught from the reports of workers. */
  createPolicy: (model: SlowdownModel, clock: Clock) => PlacementPolicy;
  /** Whether learned sizes are committed. @default false */
  learnsSizes?: boolean;
}

/** What one run measured. */
export interface ColocationFigures {
  /** Undisturbed processor seconds of the renders that finished. */
  batchWorkSeconds: number;
  batchFinished: number;
  urgentFinished: number;
  urgentStartP50Ms: number;
  urgentStartP99Ms: number;
  /** Part of the previews that missed their limit, 0 to 1. */
  sloMissPart: number;
  evictions: number;
  outOfMemory: number;
  drained: number;
  jobsGivenUp: number;
  violations: number;
}

interface Waiting {
  job: ColocationJob;
  progress: number;
  /** Memory that the last try had too little of, in MB. */
  tooSmallMegabytes: number;
  excluded: Set<string>;
  ranMs: number;
  firstStartMs?: number;
  isEnded: boolean;
}

const TICK_MS = 100;
const REPORT_EVERY_MS = 4_000;
const WORKERS = 45;
const WORKERS_PER_RACK = 11;
const ACCELERATOR_WORKERS = 6;
const START_MS = 100;
const EVICTION_MS = 400;
/** Work that a restart costs before it goes on from the checkpoint. */
const RESTART_MS = 2_000;
const WATCHERS = 60;
const WAITING_RENDERS = 100;
/** Refusals after which a pass skips a kind, so that it blocks no other kind. */
const REFUSALS_PER_KIND = 2;
/** A preview may take this multiple of its undisturbed run time, and 1 s. */
const SLO_FACTOR = 1.5;
const SLO_WAIT_MS = 1_000;
const MEMORY_GROWTH = 1.6;
const LIMITED_PART = 0.97;

/** Runs the same work and faults with one policy, in simulated time. */
export class ColocationRun {
  private readonly clock = new ManualClock();
  private readonly work: ColocationWork;
  private readonly workers = new Map<string, SimulatedWorker>();
  private readonly model = new SlowdownModel(this.clock, {
    lagMs: REPORT_EVERY_MS,
  });
  private readonly estimates = new ResourceEstimator();
  private readonly health = new WorkerHealth(this.clock);
  private readonly policy: PlacementPolicy;
  private readonly running = new Map<string, Waiting>();
  private urgent: Waiting[] = [];
  private others: Waiting[] = [];
  private readonly starts = build({numberOfSignificantValueDigits: 3});
  private misses = 0;
  private readonly figures = {
    batchWorkSeconds: 0,
    batchFinished: 0,
    urgentFinished: 0,
    evictions: 0,
    outOfMemory: 0,
    jobsGivenUp: 0,
    violations: 0,
  };
  private readonly everDrained = new Set<string>();

  constructor(private readonly options: ColocationRunOptions) {
    this.work = new ColocationWork(options);
    this.policy = options.createPolicy(this.model, this.clock);
    for (let i = 0; i < WORKERS; i++) this.addWorker(i);
    this.others = this.work.watchers(WATCHERS).map(waitingOf);
  }

  /** Runs to the end and returns the figures. */
  run(): ColocationFigures {
    while (this.clock.nowMs() < this.options.durationMs) this.tick();
    for (const worker of this.workers.values()) {
      this.figures.violations += worker.violations;
    }
    const finished = Math.max(1, this.figures.urgentFinished);
    return {
      ...this.figures,
      urgentStartP50Ms: this.starts.getValueAtPercentile(50),
      urgentStartP99Ms: this.starts.getValueAtPercentile(99),
      sloMissPart: this.misses / finished,
      drained: this.everDrained.size,
    };
  }

  private addWorker(index: number): void {
    const worker = `w${index}`;
    const hasAccelerators = index % WORKERS_PER_RACK === 0 || index === 5;
    const capacity = {
      processors: 32,
      memoryMegabytes: 125_000,
      accelerators: hasAccelerators && index < 60 ? ACCELERATOR_WORKERS : 0,
    };
    const rack = `rack-${Math.floor(index / WORKERS_PER_RACK)}`;
    this.policy.addWorker({worker, rack, capacity});
    this.health.addWorker(worker);
    this.workers.set(worker, new SimulatedWorker(worker, capacity, this.work));
  }

  private tick(): void {
    this.clock.advance(TICK_MS);
    const nowMs = this.clock.nowMs();
    this.applyFaults(nowMs);
    this.urgent.push(...this.work.previews(nowMs, TICK_MS).map(waitingOf));
    while (this.others.length < WAITING_RENDERS) {
      this.others.push(waitingOf(this.work.render(nowMs)));
    }
    let index = 0;
    for (const worker of this.workers.values()) {
      if (!worker.isAlive) continue;
      for (const {task, end} of worker.advance(nowMs, TICK_MS)) {
        this.ended(worker, {task, end});
      }
      const phase = (index++ * TICK_MS) % REPORT_EVERY_MS;
      if (nowMs % REPORT_EVERY_MS === phase) this.report(worker);
      this.applyHealth(worker);
    }
    this.urgent = this.urgent.filter((waiting) => !this.start(waiting));
    this.startOthers();
  }

  /** The same faults at the same times for each policy. */
  private applyFaults(nowMs: number): void {
    const {durationMs, seed} = this.options;
    const random = new SeededRandom(seed + 2);
    const broken = this.workers.get(`w${random.nextInteger(WORKERS)}`)!;
    const lost = this.workers.get(`w${random.nextInteger(WORKERS)}`)!;
    broken.failsEverything =
      nowMs > durationMs * 0.2 && nowMs < durationMs * 0.45;
    const isLost = nowMs > durationMs * 0.6 && nowMs < durationMs * 0.75;
    if (isLost && lost.isAlive) {
      for (const job of [...lost.tasks.keys()]) this.interrupt(lost, job);
      lost.isAlive = false;
      this.policy.setAccepting(lost.worker, false);
    } else if (!isLost && !lost.isAlive) {
      lost.isAlive = true;
    }
  }

  private applyHealth(worker: SimulatedWorker): void {
    const state = this.health.state(worker.worker);
    if (state !== HealthState.HEALTHY) this.everDrained.add(worker.worker);
    const isProbed = state === HealthState.PROBING && worker.tasks.size === 0;
    const isAccepting = state === HealthState.HEALTHY || isProbed;
    this.policy.setAccepting(worker.worker, isAccepting);
  }

  private report(worker: SimulatedWorker): void {
    const reports = worker.report();
    for (const {task, usage, speed} of reports) {
      const {job} = task;
      this.estimates.report({taskId: job.job, usage, speed});
      this.policy.setLostWork(job.job, this.clock.nowMs() - task.checkpointMs);
    }
    this.model.observeWorker(
      worker.worker,
      reports.map(({task, usage, speed}) => {
        const {job, enforced} = task;
        const isLimited =
          usage.processors >= enforced.processors * LIMITED_PART;
        return {
          taskId: job.job,
          kind: job.kind,
          speed,
          throttle: 1,
          isLimited,
        };
      }),
    );
  }

  private estimateOf(job: ColocationJob): {resources: Resources} {
    const {kind, declared, declaredRunTimeMs: runTimeMs, urgency} = job;
    return this.estimates.estimate({kind, declared, runTimeMs, urgency});
  }

  private ended(
    worker: SimulatedWorker,
    {task, end}: {task: SimulatedTask; end: SimulatedEnd},
  ): void {
    const {job} = task;
    const waiting = this.running.get(job.job)!;
    this.running.delete(job.job);
    this.policy.release(job.job);
    const ranMs = waiting.ranMs + this.clock.nowMs() - task.beginsMs;
    const outcome = {
      finished: SizeOutcome.FINISHED,
      failed: SizeOutcome.OTHER,
      'out-of-memory': SizeOutcome.OUT_OF_MEMORY,
    }[end];
    this.estimates.end(job.job, {outcome, ranMs});
    if (end !== 'out-of-memory') {
      const hasFailed = end === 'failed';
      const {kind} = job;
      this.health.record({
        worker: worker.worker,
        kind,
        job: job.job,
        hasFailed,
      });
    }
    if (end === 'finished') this.finish(waiting);
    else this.retry(waiting, {worker, task, end});
  }

  private finish(waiting: Waiting): void {
    const {job} = waiting;
    if (waiting.isEnded) this.figures.violations += 1;
    waiting.isEnded = true;
    this.health.removeJob(job.job);
    if (job.urgency === Urgency.URGENT) {
      this.figures.urgentFinished += 1;
      const tookMs = this.clock.nowMs() - job.arrivedMs;
      const limitMs = job.actualRunTimeMs * SLO_FACTOR + SLO_WAIT_MS;
      if (tookMs > limitMs) this.misses += 1;
    } else {
      this.figures.batchFinished += 1;
      this.figures.batchWorkSeconds +=
        (job.actual.processors * job.actualRunTimeMs) / 1000;
    }
  }

  private retry(
    waiting: Waiting,
    ended: {worker: SimulatedWorker; task: SimulatedTask; end: SimulatedEnd},
  ): void {
    const {worker, task, end} = ended;
    waiting.progress = task.checkpoint;
    if (end === 'out-of-memory') {
      this.figures.outOfMemory += 1;
      waiting.tooSmallMegabytes = task.enforced.memoryMegabytes;
    } else {
      waiting.excluded.add(worker.worker);
      if (this.health.isJobAtFault(waiting.job.job)) {
        this.figures.jobsGivenUp += 1;
        this.health.removeJob(waiting.job.job);
        return;
      }
    }
    this.enqueue(waiting);
  }

  private enqueue(waiting: Waiting): void {
    if (waiting.job.urgency === Urgency.URGENT) this.urgent.push(waiting);
    else this.others.unshift(waiting);
  }

  private startOthers(): void {
    const rest: Waiting[] = [];
    const refused = new Map<string, number>();
    for (const waiting of this.others) {
      const {kind} = waiting.job;
      const refusals = refused.get(kind) ?? 0;
      if (refusals < REFUSALS_PER_KIND && this.start(waiting)) continue;
      refused.set(kind, refusals + 1);
      rest.push(waiting);
    }
    this.others = rest;
  }

  private start(waiting: Waiting): boolean {
    const {job} = waiting;
    const resources = this.resourcesOf(waiting);
    const request = {
      taskId: job.job,
      customer: job.customer,
      kind: job.kind,
      urgency: job.urgency,
      resources,
      spreadGroup: job.spreadGroup,
      excludedWorkers: waiting.excluded,
      runTimeMs: job.declaredRunTimeMs,
      value: job.value,
    };
    const placement = this.policy.place(request);
    if (!placement) return false;
    const worker = this.workers.get(placement.worker)!;
    for (const victim of placement.victims) {
      this.figures.evictions += 1;
      this.interrupt(worker, victim);
    }
    this.policy.commit({...request, worker: worker.worker, lostWorkMs: 0});
    const delayMs = START_MS + (placement.victims.length > 0 ? EVICTION_MS : 0);
    const beginsMs = this.clock.nowMs() + delayMs;
    worker.start(job, {
      enforced: resources,
      beginsMs,
      progress: waiting.progress,
    });
    const {declared, declaredRunTimeMs: runTimeMs} = job;
    const task = {taskId: job.job, kind: job.kind, urgency: job.urgency};
    this.estimates.start({...task, declared, runTimeMs, committed: resources});
    this.noteStart(waiting, beginsMs);
    return true;
  }

  private noteStart(waiting: Waiting, beginsMs: number): void {
    this.running.set(waiting.job.job, waiting);
    if (waiting.firstStartMs !== undefined) return;
    waiting.firstStartMs = beginsMs;
    if (waiting.job.urgency !== Urgency.URGENT) return;
    this.starts.recordValue(beginsMs - waiting.job.arrivedMs);
  }

  private resourcesOf({job, tooSmallMegabytes}: Waiting): Resources {
    const base = this.options.learnsSizes
      ? this.estimateOf(job).resources
      : job.declared;
    const least = tooSmallMegabytes * MEMORY_GROWTH;
    return {...base, memoryMegabytes: Math.max(base.memoryMegabytes, least)};
  }

  /** Evicts a task, or loses it with its worker; it resumes from its checkpoint. */
  private interrupt(worker: SimulatedWorker, jobName: string): void {
    const task = worker.stop(jobName);
    const waiting = this.running.get(jobName);
    if (!task || !waiting) {
      this.figures.violations += 1;
      return;
    }
    this.running.delete(jobName);
    this.policy.release(jobName);
    const {actualRunTimeMs} = task.job;
    const restart = actualRunTimeMs > 0 ? RESTART_MS / actualRunTimeMs : 0;
    waiting.progress = Math.max(0, task.checkpoint - restart);
    waiting.ranMs += Math.max(0, this.clock.nowMs() - task.beginsMs);
    this.estimates.end(jobName, {outcome: SizeOutcome.OTHER, ranMs: 0});
    this.enqueue(waiting);
  }
}

function waitingOf(job: ColocationJob): Waiting {
  return {
    job,
    progress: 0,
    tooSmallMegabytes: 0,
    excluded: new Set(),
    ranMs: 0,
    isEnded: false,
  };
}
