import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';
import {AmountEstimator} from './amount_estimator.js';
import {AdaptiveMargin} from './adaptive_margin.js';

/** How a task ended, as far as its resource estimate is concerned. */
export const SizeOutcome = {
  FINISHED: 'finished',
  /** The worker killed it because it exceeded its memory limit. */
  OUT_OF_MEMORY: 'out-of-memory',
  /** Any other outcome, of which only the usage counts as a sample. */
  OTHER: 'other',
} as const;

/** One of the values of {@link SizeOutcome}. */
export type SizeOutcome = (typeof SizeOutcome)[keyof typeof SizeOutcome];

/** Properties of a task that are known before its start. */
export interface DeclaredTask {
  kind: string;
  /** Resources that the customer declared for the task. */
  declared: Resources;
  /** Declared run time in ms; 0 if the task has no end. */
  runTimeMs: number;
  /** Urgent work gets a larger margin. @default 'batch' */
  urgency?: Urgency;
}

/** Expected needs of a task. */
export interface TaskEstimate {
  /** Resources to commit; the worker enforces them as limits. */
  resources: Resources;
  /** Expected run time in ms without interference; 0 if the task has no end. */
  runTimeMs: number;
  /** Number of samples behind the estimate; 0 means as declared. */
  samples: number;
}

/** A task that is starting, or that a new shard owner found running. */
export interface StartedTask extends DeclaredTask {
  taskId: string;
  /** Resource limits that the worker enforces for the task. */
  committed: Resources;
}

/**
 * Measured needs of one task; sent to other schedulers, which add it as well.
 */
export interface SizeSample extends DeclaredTask {
  outcome: SizeOutcome;
  /**
   * Peak use, raised if the task reached its limit; 0 if there is no report.
   */
  processors: number;
  /** Peak use, or more than the limit if the task was killed at it. */
  memoryMegabytes: number;
  /** Run time in ms without interference; 0 if unknown. */
  undisturbedMs: number;
}

/** One usage report of a running task, from its worker's response. */
export interface UsageReport {
  taskId: string;
  /** Usage as measured; lags behind the actual usage. */
  usage: Resources;
  /** Speed relative to a run without interference; lags as well. */
  speed: number;
}

/** Options of {@link ResourceEstimator}. */
export interface ResourceEstimatorOptions {
  /**
   * Maximum number of kinds; the least recently used is evicted.
   *
   * @default 512
   */
  maxKinds?: number;
  /**
   * Quantile of processor usage that is estimated for work that is not urgent.
   * Such work does the most per committed processor if it can use all of them.
   *
   * @default 0.5
   */
  processorQuantile?: number;
  /** Quantile of processor usage for urgent work. @default 0.9 */
  urgentProcessorQuantile?: number;
  /**
   * Quantile of memory usage that is estimated before the margin is applied.
   *
   * @default 0.97
   */
  memoryQuantile?: number;
}

interface KindState {
  processors: AmountEstimator;
  memory: AmountEstimator;
  runTime: AmountEstimator;
  margin: AdaptiveMargin;
}

interface RunningUsage extends StartedTask {
  peakProcessors: number;
  peakMemory: number;
  speedSum: number;
  reports: number;
}

/** Samples are integers, so processors are stored in thousandths. */
const PROCESSOR_SCALE = 1_000;
/** Fraction of the limit above which a task might have used more. */
const LIMITED_FRACTION = 0.97;
/** Factors on the sample of a task that reached its limit. */
const GROWTH_OF_LIMITED_PROCESSORS = 1.2;
const GROWTH_OF_LIMITED_MEMORY = 1.5;
/**
 * Number of reports after which a running task yields a sample, so that tasks
 * without an end contribute too.
 */
const REPORTS_PER_SAMPLE = 32;
/**
 * Accepted fraction of tasks that are killed for exceeding their memory. It is
 * lower for urgent work: a killed batch task loses some work, a killed urgent
 * task misses its latency limit.
 */
const ACCEPTED_OOM_RATE = 0.005;
const ACCEPTED_URGENT_OOM_RATE = 0.0005;
/** Lower bounds of an estimate. */
const MIN_PROCESSORS = 0.05;
const MIN_MEMORY_MEGABYTES = 16;

/**
 * Estimates resource needs and run times of each kind of work from usage
 * reports, which lag behind the actual usage.
 *
 * A task is estimated once, before it starts; the same resources are committed
 * and passed to the worker, which enforces them. Samples added later only
 * affect tasks that start later, so a commitment is never less than what the
 * worker enforces.
 */
export class ResourceEstimator {
  private readonly kinds = new Map<string, KindState>();
  /** Newest sample of each kind not yet sent to other schedulers. */
  private readonly unsent = new Map<string, SizeSample>();
  private readonly running = new Map<string, RunningUsage>();
  private readonly maxKinds: number;
  private readonly processorQuantile: number;
  private readonly urgentProcessorQuantile: number;
  private readonly memoryQuantile: number;

  constructor(options: ResourceEstimatorOptions = {}) {
    this.maxKinds = options.maxKinds ?? 512;
    this.processorQuantile = options.processorQuantile ?? 0.5;
    this.urgentProcessorQuantile = options.urgentProcessorQuantile ?? 0.9;
    this.memoryQuantile = options.memoryQuantile ?? 0.97;
  }

  /**
   * Estimates what a task needs. While its kind is unknown, the estimate is the
   * declaration.
   */
  estimate(task: DeclaredTask): TaskEstimate {
    const {declared, runTimeMs} = task;
    const kind = this.kinds.get(task.kind);
    if (!kind) return {resources: {...declared}, runTimeMs, samples: 0};
    const processors =
      kind.processors.estimate(declared.processors * PROCESSOR_SCALE, {
        quantile:
          task.urgency === Urgency.URGENT
            ? this.urgentProcessorQuantile
            : this.processorQuantile,
      }) / PROCESSOR_SCALE;
    const memory =
      kind.memory.estimate(declared.memoryMegabytes, {
        quantile: this.memoryQuantile,
      }) * (kind.memory.count > 0 ? kind.margin.factor : 1);
    const time = runTimeMs && kind.runTime.estimate(runTimeMs, {quantile: 0.5});
    return {
      resources: {
        processors: Math.max(MIN_PROCESSORS, processors),
        memoryMegabytes: Math.max(MIN_MEMORY_MEGABYTES, Math.ceil(memory)),
        accelerators: declared.accelerators,
      },
      runTimeMs: time,
      samples: kind.memory.count,
    };
  }

  /** Records the start of a task; each start must be followed by an end. */
  start(task: StartedTask): void {
    this.running.set(task.taskId, {
      ...task,
      peakProcessors: 0,
      peakMemory: 0,
      speedSum: 0,
      reports: 0,
    });
  }

  /** Records one usage report of a running task. */
  report({taskId, usage, speed}: UsageReport): void {
    const task = this.running.get(taskId);
    // Reports lag, so the first ones of a task show no usage.
    const isEmpty = usage.memoryMegabytes <= 0 && usage.processors <= 0;
    if (!task || isEmpty) return;
    task.peakProcessors = Math.max(task.peakProcessors, usage.processors);
    task.peakMemory = Math.max(task.peakMemory, usage.memoryMegabytes);
    task.speedSum += speed;
    task.reports += 1;
    if (task.reports % REPORTS_PER_SAMPLE === 0) {
      this.share(sampleOf(task, {outcome: SizeOutcome.OTHER, ranMs: 0}));
    }
  }

  /**
   * Records the end of a task, and adds a sample of it.
   *
   * @param taskId - Id of the task; ignored if its start was not recorded here.
   * @param end - Outcome, and the time in ms that the task ran in total.
   */
  end(taskId: string, end: {outcome: SizeOutcome; ranMs: number}): void {
    const task = this.running.get(taskId);
    if (!task) return;
    this.running.delete(taskId);
    const isKilled = end.outcome === SizeOutcome.OUT_OF_MEMORY;
    if (task.reports > 0 || isKilled) this.share(sampleOf(task, end));
  }

  /** Updates the estimates with a sample of this or another scheduler. */
  addSample(sample: SizeSample): void {
    const {declared, outcome, processors, memoryMegabytes} = sample;
    const kind = this.kindStateOf(sample);
    if (outcome === SizeOutcome.OUT_OF_MEMORY) kind.margin.onUndersized();
    if (outcome === SizeOutcome.FINISHED) kind.margin.onSufficient();
    if (processors > 0) {
      kind.processors.add(
        processors * PROCESSOR_SCALE,
        declared.processors * PROCESSOR_SCALE,
      );
    }
    kind.memory.add(memoryMegabytes, declared.memoryMegabytes);
    if (sample.undisturbedMs > 0) {
      kind.runTime.add(sample.undisturbedMs, sample.runTimeMs);
    }
  }

  /**
   * Returns the newest samples not yet sent to other schedulers, at most one
   * per kind, for the next heartbeat. Clears all unsent samples.
   */
  takeSamples(limit: number): SizeSample[] {
    const taken = [...this.unsent.values()].slice(-limit);
    this.unsent.clear();
    return taken;
  }

  /** Updates the estimates with a sample and queues it for other schedulers. */
  private share(sample: SizeSample): void {
    this.addSample(sample);
    this.unsent.delete(sample.kind);
    this.unsent.set(sample.kind, sample);
    if (this.unsent.size > this.maxKinds) {
      this.unsent.delete(this.unsent.keys().next().value!);
    }
  }

  /** Returns the state of a kind and marks it as most recently used. */
  private kindStateOf({kind: name, urgency}: DeclaredTask): KindState {
    const existing = this.kinds.get(name);
    if (existing) {
      this.kinds.delete(name);
      this.kinds.set(name, existing);
      return existing;
    }
    if (this.kinds.size >= this.maxKinds) {
      this.kinds.delete(this.kinds.keys().next().value!);
    }
    const created: KindState = {
      processors: new AmountEstimator(),
      memory: new AmountEstimator(),
      runTime: new AmountEstimator(),
      margin: new AdaptiveMargin({
        acceptedUndersizeRate:
          urgency === Urgency.URGENT
            ? ACCEPTED_URGENT_OOM_RATE
            : ACCEPTED_OOM_RATE,
      }),
    };
    this.kinds.set(name, created);
    return created;
  }
}

function sampleOf(
  task: RunningUsage,
  {outcome, ranMs}: {outcome: SizeOutcome; ranMs: number},
): SizeSample {
  const {kind, declared, runTimeMs, urgency, committed, reports} = task;
  const isLimited =
    task.peakProcessors >= committed.processors * LIMITED_FRACTION;
  const isKilled = outcome === SizeOutcome.OUT_OF_MEMORY;
  const isTimed = outcome === SizeOutcome.FINISHED && runTimeMs > 0;
  const speed = Math.min(1, task.speedSum / Math.max(1, reports));
  return {
    kind,
    declared,
    runTimeMs,
    urgency,
    outcome,
    processors:
      task.peakProcessors * (isLimited ? GROWTH_OF_LIMITED_PROCESSORS : 1),
    memoryMegabytes: isKilled
      ? committed.memoryMegabytes * GROWTH_OF_LIMITED_MEMORY
      : task.peakMemory,
    undisturbedMs: isTimed ? ranMs * speed : 0,
  };
}
