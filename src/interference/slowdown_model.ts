import {Clock} from '../clock/clock.js';

/** A running task as reported by its worker. */
export interface SpeedReport {
  taskId: string;
  kind: string;
  /** Speed relative to a run without interference; the measurement lags. */
  speed: number;
  /**
   * Fraction of its speed that a throttled task keeps; 1 means not throttled.
   */
  throttle: number;
  /**
   * True if the task uses all processors allowed by its limit. Its speed then
   * carries little information about its neighbours, so it is ignored.
   *
   * @default false
   */
  isLimited?: boolean;
}

/**
 * One measured slowdown; sent to other schedulers, which add it to their
 * models.
 */
export interface SlowdownSample {
  kind: string;
  /** Number of neighbours by kind. */
  neighbours: ReadonlyArray<readonly [kind: string, count: number]>;
  /** Combined slowdown by all neighbours; 1 means none. */
  slowdown: number;
}

/** Options of {@link SlowdownModel}. */
export interface SlowdownModelOptions {
  /** Time in ms by which reported speeds lag. @default 2500 */
  lagMs?: number;
  /** Half-life of learned estimates in ms. @default 600000 */
  halfLifeMs?: number;
  /** Maximum number of pairs of kinds. @default 20000 */
  maxPairs?: number;
}

interface PairEstimate {
  /** Mean logarithm of the slowdown by one neighbour. */
  mean: number;
  variance: number;
  /** Slowdown by one neighbour, derived from the mean and clamped. */
  factor: number;
  updatedMs: number;
}

interface WorkerState {
  /** Identifies the tasks of the worker and their throttles. */
  signature: string;
  unchangedSinceMs: number;
}

/**
 * Prior mean of a pair; low, because most kinds hardly slow each other down.
 */
const PRIOR_MEAN = 0.02;
/** Prior variance of a pair. */
const PRIOR_VARIANCE = 0.03;
/** Variance of one measurement of the logarithm of a speed. */
const NOISE_VARIANCE = 0.02;
/** Upper bound of an estimated slowdown. */
const MAX_SLOWDOWN = 4;
/** Maximum number of kinds with a sample that waits for the next heartbeat. */
const MAX_UNSENT = 512;
/** Lower bound of a measured speed, so that its logarithm is finite. */
const MIN_SPEED = 0.02;

/**
 * Estimates the slowdown of one kind of work by a neighbour of another kind
 * from reported speeds. Slowdowns of several neighbours multiply, so their
 * logarithms add up, and a Kalman filter with a diagonal covariance attributes
 * an observed slowdown to the neighbours. With few samples, the prior dominates
 * (shrinkage). Over time, estimates decay to the prior, because interference
 * changes with the load.
 */
export class SlowdownModel {
  private readonly pairs = new Map<string, Map<string, PairEstimate>>();
  /** Newest sample of each kind not yet sent to other schedulers. */
  private readonly unsent = new Map<string, SlowdownSample>();
  private readonly workers = new Map<string, WorkerState>();
  private readonly lagMs: number;
  private readonly halfLifeMs: number;
  private readonly maxPairs: number;
  private pairCount = 0;

  constructor(
    private readonly clock: Clock,
    options: SlowdownModelOptions = {},
  ) {
    this.lagMs = options.lagMs ?? 2_500;
    this.halfLifeMs = options.halfLifeMs ?? 600_000;
    this.maxPairs = options.maxPairs ?? 20_000;
  }

  /**
   * Returns the slowdown of a kind by one neighbour; 1, the minimum, means
   * none.
   */
  slowdown(kind: string, neighbour: string): number {
    return this.pairs.get(kind)?.get(neighbour)?.factor ?? 1;
  }

  /**
   * Updates the estimates with the report of one worker. Speeds lag, so a
   * report is only used if the worker has run the same tasks for at least the
   * lag.
   */
  observeWorker(worker: string, tasks: readonly SpeedReport[]): void {
    const signature = tasks
      .map((task) => `${task.taskId}*${task.throttle}`)
      .sort()
      .join();
    const nowMs = this.clock.nowMs();
    const state = this.workers.get(worker);
    if (state?.signature !== signature) {
      this.workers.set(worker, {signature, unchangedSinceMs: nowMs});
      return;
    }
    if (nowMs - state.unchangedSinceMs < this.lagMs) return;
    const counts = new Map<string, number>();
    for (const {kind} of tasks) counts.set(kind, (counts.get(kind) ?? 0) + 1);
    for (const task of tasks) {
      if (!task.isLimited) this.observeTask(task, counts);
    }
  }

  /** Removes the state of a worker. */
  removeWorker(worker: string): void {
    this.workers.delete(worker);
  }

  /** Updates the estimates with a sample of this or another scheduler. */
  addSample({kind, neighbours, slowdown}: SlowdownSample): void {
    let expected = 0;
    let variance = NOISE_VARIANCE;
    const inputs = neighbours.map(([neighbour, count]) => {
      const pair = this.pairOf(kind, neighbour);
      expected += count * pair.mean;
      variance += count * count * pair.variance;
      return {pair, count};
    });
    const error = Math.log(slowdown) - expected;
    for (const {pair, count} of inputs) {
      const gain = (count * pair.variance) / variance;
      pair.mean += gain * error;
      pair.variance -= gain * count * pair.variance;
      pair.factor = Math.min(MAX_SLOWDOWN, Math.max(1, Math.exp(pair.mean)));
    }
  }

  /**
   * Returns the newest samples not yet sent to other schedulers, at most one
   * per kind, for the next heartbeat. Clears all unsent samples.
   */
  takeSamples(limit: number): SlowdownSample[] {
    const taken = [...this.unsent.values()].slice(-limit);
    this.unsent.clear();
    return taken;
  }

  private observeTask(
    task: SpeedReport,
    counts: ReadonlyMap<string, number>,
  ): void {
    const neighbours = [...counts]
      .map(([kind, all]) => [kind, kind === task.kind ? all - 1 : all] as const)
      .filter(([, count]) => count > 0);
    if (neighbours.length === 0) return;
    const speed = Math.max(MIN_SPEED, task.speed / task.throttle);
    const sample = {kind: task.kind, neighbours, slowdown: 1 / speed};
    this.addSample(sample);
    this.unsent.delete(task.kind);
    if (this.unsent.size < MAX_UNSENT) this.unsent.set(task.kind, sample);
  }

  /** Returns a pair, decayed towards the prior up to the current time. */
  private pairOf(kind: string, neighbour: string): PairEstimate {
    let row = this.pairs.get(kind);
    if (!row) this.pairs.set(kind, (row = new Map<string, PairEstimate>()));
    const nowMs = this.clock.nowMs();
    let pair = row.get(neighbour);
    if (!pair) {
      if (this.pairCount >= this.maxPairs) this.evictOldestKind(kind);
      pair = {
        mean: PRIOR_MEAN,
        variance: PRIOR_VARIANCE,
        factor: 1,
        updatedMs: nowMs,
      };
      row.set(neighbour, pair);
      this.pairCount += 1;
    }
    const retainedFraction =
      0.5 ** ((nowMs - pair.updatedMs) / this.halfLifeMs);
    pair.mean = PRIOR_MEAN + (pair.mean - PRIOR_MEAN) * retainedFraction;
    pair.variance =
      PRIOR_VARIANCE + (pair.variance - PRIOR_VARIANCE) * retainedFraction;
    pair.updatedMs = nowMs;
    return pair;
  }

  private evictOldestKind(keptKind: string): void {
    for (const [kind, row] of this.pairs) {
      if (kind === keptKind) continue;
      this.pairs.delete(kind);
      this.pairCount -= row.size;
      return;
    }
  }
}
