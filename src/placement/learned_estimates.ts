import {Resources} from '../workers/resources.js';
import {LearnedAmount} from './learned_amount.js';
import {SelfPayingMargin} from './self_paying_margin.js';

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

/** One report of a running task, from the answer of its worker. */
export interface UsageReport extends DeclaredTask {
  taskId: string;
  /** What the worker enforces for the task. */
  committed: Resources;
  /** Lagging usage. */
  usage: Resources;
  /** Lagging speed relative to an undisturbed run. */
  speed: number;
}

/** Options of {@link LearnedEstimates}. */
export interface LearnedEstimatesOptions {
  /** Kinds that are remembered; the least recently used is dropped. @default 512 */
  mostKinds?: number;
  /** Part of the tasks that get all the processors they can use. @default 0.85 */
  processorQuantile?: number;
  /** Part of the tasks that fit into the memory before the margin. @default 0.97 */
  memoryQuantile?: number;
}

interface KindState {
  processors: LearnedAmount;
  memory: LearnedAmount;
  runTime: LearnedAmount;
  margin: SelfPayingMargin;
}

interface RunningUsage extends DeclaredTask {
  committed: Resources;
  peakProcessors: number;
  peakMemory: number;
  speedSum: number;
  reports: number;
}

/** Thousandths of a processor keep fractions apart in whole numbers. */
const PROCESSOR_SCALE = 1_000;
/** A task this near to its limit might have used more. */
const LIMITED_PART = 0.97;
const GROWTH_OF_LIMITED = 1.5;
/** Endless tasks never end, so their usage is learned after these reports. */
const REPORTS_PER_SAMPLE = 32;
const SMALLEST_PROCESSORS = 0.05;
const SMALLEST_MEMORY_MEGABYTES = 16;

/**
 * Learns sizes and run times for each kind of work from lagging usage.
 *
 * An estimate is made once, before a task starts, and the same resources are
 * committed and passed to the worker, which enforces them. What is learned
 * later changes only the estimates of tasks that start later, so a commitment
 * is never less than what the worker enforces.
 */
export class LearnedEstimates {
  private readonly kinds = new Map<string, KindState>();
  private readonly running = new Map<string, RunningUsage>();
  private readonly mostKinds: number;
  private readonly processorQuantile: number;
  private readonly memoryQuantile: number;

  constructor(options: LearnedEstimatesOptions = {}) {
    this.mostKinds = options.mostKinds ?? 512;
    this.processorQuantile = options.processorQuantile ?? 0.85;
    this.memoryQuantile = options.memoryQuantile ?? 0.97;
  }

  /** Estimates what a task needs; as declared while its kind is unknown. */
  estimate(task: DeclaredTask): TaskEstimate {
    const {declared, runTimeMs} = task;
    const kind = this.kinds.get(task.kind);
    if (!kind) return {resources: {...declared}, runTimeMs, samples: 0};
    const processors =
      kind.processors.estimate(declared.processors * PROCESSOR_SCALE, {
        quantile: this.processorQuantile,
      }) / PROCESSOR_SCALE;
    const memory =
      kind.memory.estimate(declared.memoryMegabytes, {
        quantile: this.memoryQuantile,
      }) * (kind.memory.count > 0 ? kind.margin.factor : 1);
    const time = runTimeMs && kind.runTime.estimate(runTimeMs, {quantile: 0.5});
    return {
      resources: {
        processors: Math.max(SMALLEST_PROCESSORS, processors),
        memoryMegabytes: Math.max(SMALLEST_MEMORY_MEGABYTES, Math.ceil(memory)),
        accelerators: declared.accelerators,
      },
      runTimeMs: time,
      samples: kind.memory.count,
    };
  }

  /** Takes in one report of a running task. */
  report(report: UsageReport): void {
    // Lagging reports show no usage at first.
    if (report.usage.memoryMegabytes <= 0 && report.usage.processors <= 0) {
      return;
    }
    let usage = this.running.get(report.taskId);
    if (!usage) this.running.set(report.taskId, (usage = startOf(report)));
    usage.peakProcessors = Math.max(
      usage.peakProcessors,
      report.usage.processors,
    );
    usage.peakMemory = Math.max(usage.peakMemory, report.usage.memoryMegabytes);
    usage.speedSum += report.speed;
    usage.reports += 1;
    if (usage.reports % REPORTS_PER_SAMPLE === 0) this.learnSize(usage);
  }

  /**
   * Takes in the end of a task.
   *
   * @param taskId - The task; one that was never reported teaches nothing.
   * @param end - How it ended and how long it ran from its beginning, in ms.
   */
  end(taskId: string, end: {outcome: SizeOutcome; ranMs: number}): void {
    const usage = this.running.get(taskId);
    if (!usage) return;
    this.running.delete(taskId);
    const kind = this.kindOf(usage.kind);
    if (end.outcome === SizeOutcome.OUT_OF_MEMORY) {
      kind.margin.tooSmall();
      usage.peakMemory = usage.committed.memoryMegabytes * GROWTH_OF_LIMITED;
    }
    this.learnSize(usage);
    if (end.outcome !== SizeOutcome.FINISHED) return;
    kind.margin.sufficient();
    if (usage.runTimeMs > 0) {
      const speed = Math.min(1, usage.speedSum / usage.reports);
      kind.runTime.add(end.ranMs * speed, usage.runTimeMs);
    }
  }

  private learnSize(usage: RunningUsage): void {
    const kind = this.kindOf(usage.kind);
    const {declared, committed, peakProcessors, peakMemory} = usage;
    const isLimited = peakProcessors >= committed.processors * LIMITED_PART;
    const processors = isLimited
      ? Math.max(peakProcessors, committed.processors) * GROWTH_OF_LIMITED
      : peakProcessors;
    kind.processors.add(
      processors * PROCESSOR_SCALE,
      declared.processors * PROCESSOR_SCALE,
    );
    kind.memory.add(peakMemory, declared.memoryMegabytes);
  }

  private kindOf(name: string): KindState {
    const existing = this.kinds.get(name);
    if (existing) {
      this.kinds.delete(name);
      this.kinds.set(name, existing);
      return existing;
    }
    if (this.kinds.size >= this.mostKinds) {
      this.kinds.delete(this.kinds.keys().next().value!);
    }
    const created: KindState = {
      processors: new LearnedAmount(),
      memory: new LearnedAmount(),
      runTime: new LearnedAmount(),
      margin: new SelfPayingMargin(),
    };
    this.kinds.set(name, created);
    return created;
  }
}

function startOf(report: UsageReport): RunningUsage {
  const {kind, declared, runTimeMs, committed} = report;
  return {
    kind,
    declared,
    runTimeMs,
    committed,
    peakProcessors: 0,
    peakMemory: 0,
    speedSum: 0,
    reports: 0,
  };
}
