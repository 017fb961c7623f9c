import {PressureEstimates, PRIOR_PRESSURE} from './pressure_estimates.js';
import {PRIOR_LOAD, LoadTracker} from './load_tracker.js';

/** CPU use of the best-effort tasks of one image on a worker. */
export interface BestEffortUsage {
  image: string;
  /** Processors in use as a share of the worker's processors. */
  share: number;
}

/** Tail latency of one latency-critical task. */
export interface TailReport {
  /** Name of the latency-critical task. */
  task: string;
  /**
   * Group of tasks whose load rises and falls together, such as the tasks of
   * one step.
   *
   * @default task
   */
  group?: string;
  /** Image of the latency-critical task. */
  image: string;
  /** Measured tail latency in ms. */
  tailMs: number;
  /** CPU use of the best-effort tasks on its worker during the measurement. */
  fills: readonly BestEffortUsage[];
  /** Time of the report in ms. */
  nowMs: number;
}

/** Estimated pressure of one image on another, with its standard deviation. */
export interface PressurePair {
  /** Image of the latency-critical tasks. */
  image: string;
  /** Image of the best-effort tasks. */
  fill: string;
  pressure: number;
  /** Standard deviation of the pressure. */
  deviation: number;
}

interface LastReading {
  tailMs: number;
  nowMs: number;
  /** Smoothed load derived from the latest tail latencies. */
  load: number;
}

/** Standard deviation of a measured tail latency, relative to its value. */
const RELATIVE_TAIL_DEVIATION = 0.12;

/** Lower bound of the variance of a load, reached at short tail latencies. */
const MIN_NOISE_VARIANCE = 0.0004;

/** Weight of the newest reading in the smoothed load of a task. */
const SMOOTHING_FACTOR = 0.6;

/** Standard deviations beyond which an innovation is clipped as an outlier. */
const OUTLIER_DEVIATIONS = 3;

/** Time in ms within which an equal tail latency is the same reading again. */
const DUPLICATE_WINDOW_MS = 450;

/**
 * Maximum number of latency-critical images with estimates; the least recently
 * observed one is removed first.
 */
const MAX_IMAGES = 256;

/** Upper bound of a load, because the tail latency diverges at 1. */
const MAX_LOAD = 0.99;

/**
 * Estimates how much load best-effort tasks put on latency-critical tasks, by
 * pair of images. The tail latency is modelled as that of a queue, proportional
 * to 1 / (1 - load), because loads add up and latencies do not.
 */
export class TailInterference {
  /** Pressures on each latency-critical image, the latest observed last. */
  private readonly pressures = new Map<string, PressureEstimates>();
  /** Load of each group without interference. */
  private readonly ownLoads = new Map<string, LoadTracker>();
  private readonly lastReadings = new Map<string, LastReading>();
  /** Shortest tail latency seen per image; taken as that without load. */
  private readonly shortestTails = new Map<string, number>();

  /** Updates the estimates with one report; a duplicate reading is ignored. */
  observe(report: TailReport): void {
    const {task, group = task, image, tailMs, fills, nowMs} = report;
    if (tailMs <= 0 || this.isDuplicateReading(report)) return;
    const shortest = this.shortestTails.get(image) ?? Infinity;
    if (tailMs < shortest) this.shortestTails.set(image, tailMs);
    const load = this.loadAt(image, tailMs);
    this.recordReading(report, load);
    const own = this.ownLoad(group, nowMs);
    own.advance(nowMs);
    const pressures = this.pressuresOn(image);
    pressures.advance(nowMs);
    const bestEffortLoad = pressures.predict(fills);
    const expected = own.mean + bestEffortLoad.load;
    const variance =
      own.variance + bestEffortLoad.variance + noiseVarianceAt(expected);
    // Clips outliers: a task that has just started reports a tail latency that
    // it has not yet measured itself.
    const limit = OUTLIER_DEVIATIONS * Math.sqrt(variance);
    const error = Math.max(-limit, Math.min(limit, load - expected));
    own.correct(error, variance);
    pressures.correct(fills, error, variance);
  }

  /** Removes a group that no longer serves, and the readings of its tasks. */
  removeGroup(group: string, tasks: Iterable<string>): void {
    this.ownLoads.delete(group);
    for (const task of tasks) this.lastReadings.delete(task);
  }

  /** Returns the load of a group's tasks without interference. */
  ownLoadOf(group: string, nowMs: number): number {
    return this.ownLoads.get(group)?.levelAt(nowMs) ?? PRIOR_LOAD;
  }

  /**
   * Returns the load derived from a task's latest readings, if there are any.
   */
  observedLoadOf(task: string): number | undefined {
    return this.lastReadings.get(task)?.load;
  }

  /**
   * Returns the load that tasks of `bestEffortImage` put on tasks of `image`
   * when they use all processors of the worker.
   */
  pressureOf(image: string, bestEffortImage: string): number {
    return this.pressures.get(image)?.meanOf(bestEffortImage) ?? PRIOR_PRESSURE;
  }

  /** Returns the load at which tasks of an image have this tail latency. */
  loadAt(image: string, tailMs: number): number {
    const shortest = this.shortestTails.get(image);
    if (shortest === undefined) return PRIOR_LOAD;
    return Math.min(MAX_LOAD, 1 - shortest / Math.max(tailMs, shortest));
  }

  /** Returns the estimates for all pairs of images, for logs. */
  pairs(): PressurePair[] {
    return [...this.pressures].flatMap(([image, estimates]) =>
      [...estimates.images].map((bestEffortImage) => ({
        image,
        fill: bestEffortImage,
        pressure: round(estimates.meanOf(bestEffortImage)),
        deviation: round(estimates.standardDeviationOf(bestEffortImage)),
      })),
    );
  }

  private recordReading({task, tailMs, nowMs}: TailReport, load: number): void {
    const last = this.lastReadings.get(task)?.load ?? load;
    const smoothed = last + (load - last) * SMOOTHING_FACTOR;
    this.lastReadings.set(task, {tailMs, nowMs, load: smoothed});
  }

  /** Workers update a gauge every 500 ms and may be polled more often. */
  private isDuplicateReading({task, tailMs, nowMs}: TailReport): boolean {
    const last = this.lastReadings.get(task);
    return last?.tailMs === tailMs && nowMs - last.nowMs < DUPLICATE_WINDOW_MS;
  }

  private ownLoad(group: string, nowMs: number): LoadTracker {
    let load = this.ownLoads.get(group);
    if (!load) {
      load = new LoadTracker(nowMs);
      this.ownLoads.set(group, load);
    }
    return load;
  }

  private pressuresOn(image: string): PressureEstimates {
    const estimates = this.pressures.get(image) ?? new PressureEstimates();
    this.pressures.delete(image);
    this.pressures.set(image, estimates);
    if (this.pressures.size > MAX_IMAGES) this.removeOldestImage();
    return estimates;
  }

  private removeOldestImage(): void {
    const [oldest] = this.pressures.keys();
    this.pressures.delete(oldest!);
    this.shortestTails.delete(oldest!);
  }
}

/**
 * Returns the variance of a load derived from a tail latency, 1 / (1 - load).
 */
function noiseVarianceAt(load: number): number {
  const deviation = RELATIVE_TAIL_DEVIATION * (1 - Math.min(MAX_LOAD, load));
  return MIN_NOISE_VARIANCE + deviation ** 2;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
