import {Clock} from '../clock/clock.js';

/** A running task as its worker reports it. */
export interface SpeedReport {
  taskId: string;
  kind: string;
  /** Lagging speed relative to an undisturbed run. */
  speed: number;
  /** Share of its speed that a throttled task keeps; 1 means no throttle. */
  throttle: number;
  /**
   * True if the task uses all the processors it may: its speed then says little
   * about its neighbours, and teaches nothing.
   *
   * @default false
   */
  isLimited?: boolean;
}

/** One measured slowdown; other schedulers learn from it too. */
export interface SlowdownSample {
  kind: string;
  /** Number of neighbours by kind. */
  neighbours: ReadonlyArray<readonly [kind: string, count: number]>;
  /** Slowdown by all neighbours together; 1 means none. */
  slowdown: number;
}

/** Options of {@link SlowdownModel}. */
export interface SlowdownModelOptions {
  /** Time in ms that speeds lag behind the tasks of a worker. @default 2500 */
  lagMs?: number;
  /** Time in ms in which half of what was learned is forgotten. @default 600000 */
  halfLifeMs?: number;
  /** Pairs of kinds that are remembered. @default 20000 */
  maxPairs?: number;
}

interface PairEstimate {
  /** Logarithm of the slowdown by one neighbour. */
  mean: number;
  variance: number;
  /** Slowdown by one neighbour, from the mean. */
  factor: number;
  updatedMs: number;
}

interface WorkerState {
  signature: string;
  unchangedSinceMs: number;
}

/** Mean of most pairs: most kinds hardly disturb each other. */
const PRIOR_MEAN = 0.02;
const PRIOR_VARIANCE = 0.03;
/** Variance of one lagging measurement of the logarithm of a speed. */
const NOISE_VARIANCE = 0.02;
const MAX_SLOWDOWN = 4;
/** Kinds whose newest sample waits for the next heartbeat. */
const MAX_UNSENT = 512;
const MIN_SPEED = 0.02;

/**
 * Learns the slowdown of a kind by a neighbour of another kind from lagging
 * speeds. Slowdowns of several neighbours multiply, so their logarithms add up
 * and a Kalman filter with a diagonal covariance assigns an observed slowdown
 * to the neighbours. With few samples the prior decides (shrinkage); with time
 * the estimate returns to the prior, because interference shifts with load.
 */
export class SlowdownModel {
  private readonly pairs = new Map<string, Map<string, PairEstimate>>();
  /** Newest sample of each kind that no other scheduler was told of. */
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

  /** Slowdown of a kind by one neighbour; at least 1, and 1 means none. */
  slowdown(kind: string, neighbour: string): number {
    return this.pairs.get(kind)?.get(neighbour)?.factor ?? 1;
  }

  /**
   * Takes in the report of one worker. Speeds lag, so a report teaches only if
   * the same tasks ran for longer than the lag.
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

  /** Forgets a worker that is gone. */
  removeWorker(worker: string): void {
    this.workers.delete(worker);
  }

  /** Learns from a sample, also from one that another scheduler took. */
  learn({kind, neighbours, slowdown}: SlowdownSample): void {
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
   * Takes the newest samples that no other scheduler was told of, at most one
   * of each kind, for the next heartbeat.
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
    this.learn(sample);
    this.unsent.delete(task.kind);
    if (this.unsent.size < MAX_UNSENT) this.unsent.set(task.kind, sample);
  }

  /** The pair with what was learned aged up to now. */
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
