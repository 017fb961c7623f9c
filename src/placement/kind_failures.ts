/** Options of {@link KindFailures}. */
export interface KindFailuresOptions {
  /** Ended tasks of one kind after which its counts are halved. @default 400 */
  window?: number;
  /**
   * Maximum number of kinds; the least recently used is evicted.
   *
   * @default 2048
   */
  maxKinds?: number;
}

interface Counts {
  ends: number;
  failures: number;
}

interface KindCounts extends Counts {
  byWorker: Map<string, Counts>;
}

/**
 * Prior failure rate. At 0.5, a failure of a kind without samples is only weak
 * evidence against the worker.
 */
const PRIOR_RATE = 0.5;
/** Number of ended tasks that the prior counts for. */
const PRIOR_ENDS = 2;
/** Bounds of a rate, so that no single end is conclusive evidence. */
const MIN_RATE = 0.02;
const MAX_RATE = 0.98;

/** Failure rates by kind of work, computed without the tasks of one worker. */
export class KindFailures {
  private readonly kinds = new Map<string, KindCounts>();
  private readonly window: number;
  private readonly maxKinds: number;

  constructor(options: KindFailuresOptions = {}) {
    this.window = options.window ?? 400;
    this.maxKinds = options.maxKinds ?? 2048;
  }

  /** Records the end of a task. */
  record(end: {worker: string; kind: string; hasFailed: boolean}): void {
    const counts = this.countsOf(end.kind);
    let own = counts.byWorker.get(end.worker);
    if (!own) counts.byWorker.set(end.worker, (own = {ends: 0, failures: 0}));
    for (const sum of [counts, own]) {
      sum.ends += 1;
      if (end.hasFailed) sum.failures += 1;
    }
    if (counts.ends >= this.window) halve(counts);
  }

  /**
   * Returns the failure rate of a kind on all workers but the given one, from
   * 0.02 to 0.98.
   */
  rateOnOtherWorkers(on: {worker: string; kind: string}): number {
    const counts = this.kinds.get(on.kind);
    const own = counts?.byWorker.get(on.worker);
    const ends = (counts?.ends ?? 0) - (own?.ends ?? 0);
    const failures = (counts?.failures ?? 0) - (own?.failures ?? 0);
    const rate = (failures + PRIOR_RATE * PRIOR_ENDS) / (ends + PRIOR_ENDS);
    return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
  }

  private countsOf(kind: string): KindCounts {
    const existing = this.kinds.get(kind);
    const counts = existing ?? {ends: 0, failures: 0, byWorker: new Map()};
    this.kinds.delete(kind);
    if (this.kinds.size >= this.maxKinds) {
      this.kinds.delete(this.kinds.keys().next().value!);
    }
    this.kinds.set(kind, counts);
    return counts;
  }
}

/** Halves the counts and drops workers without recent ends. */
function halve(counts: KindCounts): void {
  counts.ends /= 2;
  counts.failures /= 2;
  for (const [worker, own] of counts.byWorker) {
    own.ends /= 2;
    own.failures /= 2;
    if (own.ends < 0.5) counts.byWorker.delete(worker);
  }
}
