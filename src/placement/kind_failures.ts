/** Options of {@link KindFailures}. */
export interface KindFailuresOptions {
  /** Ends of one kind after which counts are halved. @default 400 */
  window?: number;
  /** Kinds that are remembered; the least recently used is dropped. @default 2048 */
  maxKinds?: number;
}

interface Counts {
  ends: number;
  failures: number;
}

interface KindCounts extends Counts {
  byWorker: Map<string, Counts>;
}

/** Without samples a failure says nothing about the worker. */
const PRIOR_RATE = 0.5;
const PRIOR_ENDS = 2;
const MIN_RATE = 0.02;
const MAX_RATE = 0.98;

/** Failure rates of kinds of work, with those of one worker left out. */
export class KindFailures {
  private readonly kinds = new Map<string, KindCounts>();
  private readonly window: number;
  private readonly maxKinds: number;

  constructor(options: KindFailuresOptions = {}) {
    this.window = options.window ?? 400;
    this.maxKinds = options.maxKinds ?? 2048;
  }

  /** Takes in the end of a task. */
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

  /** Failure rate of a kind on all workers but one, from 0.02 to 0.98. */
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

/** Forgets old ends; a worker without recent ones is dropped. */
function halve(counts: KindCounts): void {
  counts.ends /= 2;
  counts.failures /= 2;
  for (const [worker, own] of counts.byWorker) {
    own.ends /= 2;
    own.failures /= 2;
    if (own.ends < 0.5) counts.byWorker.delete(worker);
  }
}
