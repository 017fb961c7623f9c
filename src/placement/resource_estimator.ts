import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';
import {AmountEstimator} from './amount_estimator.js';
import {AdaptiveMargin} from './adaptive_margin.js';

/** How a task ended, as far as its size is concerned. */
export const SizeOutcome = {
  FINISHED: 'finished',
  /** The worker's guard ended it because it needed more memory. */
  OUT_OF_MEMORY: 'out-of-memory',
  /** Any other end, from which only the usage is learned. */
  OTHER: 'other',
} as const;

/** One of the values of {@link SizeOutcome}. */
export type SizeOutcome = (typeof SizeOutcome)[keyof typeof SizeOutcome];

/** What is known about a task before its start. */
export interface DeclaredTask {
  kind: string;
  declared: Resources;
  /** Declared run time in ms; 0 if the task has no end. */
  runTimeMs: number;
  /** Urgent work gets a larger margin. @default 'batch' */
  urgency?: Urgency;
}

/** What a task is expected to need. */
export interface TaskEstimate {
  /** Resources to commit and to let the worker enforce. */
  resources: Resources;
  /** Expected run time in ms without interference; 0 if there is no end. */
  runTimeMs: number;
  /** Samples that the estimate is based on; 0 means as declared. */
  samples: number;
}

/** A task that starts, or that a new owner found running. */
export interface StartedTask extends DeclaredTask {
  taskId: string;
  /** What the worker enforces for the task. */
  committed: Resources;
}

/** What one task of a kind needed; other schedulers learn from it too. */
export interface SizeSample extends DeclaredTask {
  outcome: SizeOutcome;
  processors: number;
  memoryMegabytes: number;
  /** Undisturbed run time in ms; 0 if unknown. */
  undisturbedMs: number;
}

/** One report of a running task, from the answer of its worker. */
export interface UsageReport {
  taskId: string;
  /** Lagging usage. */
  usage: Resources;
  /** Lagging speed relative to an undisturbed run. */
  speed: number;
}

/** Options of {@link ResourceEstimator}. */
export interface ResourceEstimatorOptions {
  /** Kinds that are remembered; the least recently used is dropped. @default 512 */
  maxKinds?: number;
  /**
   * Part of the tasks that get all the processors they can use. Work that is
   * not urgent does most per committed processor when it can use all of them.
   *
   * @default 0.5
   */
  processorQuantile?: number;
  /** The same for urgent work. @default 0.9 */
  urgentProcessorQuantile?: number;
  /** Part of the tasks that fit into the memory before the margin. @default 0.97 */
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

/** Thousandths of a processor keep fractions apart in whole numbers. */
const PROCESSOR_SCALE = 1_000;
/** A task this near to its limit might have used more. */
const LIMITED_FRACTION = 0.97;
const GROWTH_OF_LIMITED_PROCESSORS = 1.2;
const GROWTH_OF_LIMITED_MEMORY = 1.5;
/** Endless tasks never end, so their usage is learned after these reports. */
const REPORTS_PER_SAMPLE = 32;
/**
 * Part of the tasks that may be killed for too little memory. A killed batch
 * task loses some work; a killed urgent task misses its limit.
 */
const ACCEPTED_OOM_RATE = 0.005;
const ACCEPTED_URGENT_OOM_RATE = 0.0005;
const MIN_PROCESSORS = 0.05;
const MIN_MEMORY_MEGABYTES = 16;

/**
 * Learns sizes and run times for each kind of work from lagging usage.
 *
 * An estimate is made once, before a task starts, and the same resources are
 * committed and passed to the worker, which enforces them. What is learned
 * later changes only the estimates of tasks that start later, so a commitment
 * is never less than what the worker enforces.
 */
export class ResourceEstimator {
  private readonly kinds = new Map<string, KindState>();
  /** Newest sample of each kind that no other scheduler was told of. */
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

  /** Estimates what a task needs; as declared while its kind is unknown. */
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

  /** Takes in the start of a task; each start needs an end. */
  start(task: StartedTask): void {
    this.running.set(task.taskId, {
      ...task,
      peakProcessors: 0,
      peakMemory: 0,
      speedSum: 0,
      reports: 0,
    });
  }

  /** Takes in one report of a running task. */
  report({taskId, usage, speed}: UsageReport): void {
    const task = this.running.get(taskId);
    // Lagging reports show no usage at first.
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
   * Takes in the end of a task.
   *
   * @param taskId - The task; one that did not start here teaches nothing.
   * @param end - How it ended and how long it ran from its beginning, in ms.
   */
  end(taskId: string, end: {outcome: SizeOutcome; ranMs: number}): void {
    const task = this.running.get(taskId);
    if (!task) return;
    this.running.delete(taskId);
    const isKilled = end.outcome === SizeOutcome.OUT_OF_MEMORY;
    if (task.reports > 0 || isKilled) this.share(sampleOf(task, end));
  }

  /** Learns from a sample, also from one that another scheduler took. */
  learn(sample: SizeSample): void {
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
   * Takes the newest samples that no other scheduler was told of, at most one
   * of each kind, for the next heartbeat.
   */
  takeSamples(limit: number): SizeSample[] {
    const taken = [...this.unsent.values()].slice(-limit);
    this.unsent.clear();
    return taken;
  }

  private share(sample: SizeSample): void {
    this.learn(sample);
    this.unsent.delete(sample.kind);
    this.unsent.set(sample.kind, sample);
    if (this.unsent.size > this.maxKinds) {
      this.unsent.delete(this.unsent.keys().next().value!);
    }
  }

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
