import {PressureEstimates, PRIOR_PRESSURE} from './pressure_estimates.js';
import {PRIOR_LOAD, LoadTracker} from './load_tracker.js';

/** Use of a worker by tasks of one image on leftover processors. */
export interface FillUsage {
  image: string;
  /** Processors in use as a share of the worker's. */
  share: number;
}

/** Tail latency of one task that serves. */
export interface TailReport {
  /** Task that serves. */
  task: string;
  /**
   * Tasks of a group share a load that rises and falls together, such as the
   * tasks of one step.
   *
   * @default task
   */
  group?: string;
  image: string;
  tailMs: number;
  /** What ran beside it on leftover processors while the tail was taken. */
  fills: readonly FillUsage[];
  nowMs: number;
}

/** Pressure of one image on another, with its uncertainty. */
export interface LearnedPair {
  image: string;
  fill: string;
  pressure: number;
  deviation: number;
}

interface LastReading {
  tailMs: number;
  nowMs: number;
  /** Load that the latest tails show, smoothed. */
  load: number;
}

/** Standard deviation of a rough tail latency as a part of its value. */
const RELATIVE_TAIL_DEVIATION = 0.12;

/** Variance of a load that remains where tails are short. */
const MIN_NOISE_VARIANCE = 0.0004;

/** Weight of the newest reading in the smoothed load of a task. */
const SMOOTHING_FACTOR = 0.6;

/** Deviations by which a tail is off before it counts as an outlier. */
const OUTLIER_DEVIATIONS = 3;

/** Time in ms within which an equal tail is the same reading once more. */
const DUPLICATE_WINDOW_MS = 450;

const MAX_LOAD = 0.99;

/**
 * Learns how much load tasks on leftover processors put on tasks that serve,
 * by pair of images. A tail latency is read as that of a queue: it grows as
 * 1 / (1 - load), so that loads add up where latencies do not.
 */
export class TailInterference {
  /** Pressures on each image that serves. */
  private readonly pressures = new Map<string, PressureEstimates>();
  private readonly ownLoads = new Map<string, LoadTracker>();
  private readonly lastReadings = new Map<string, LastReading>();
  private readonly shortestTails = new Map<string, number>();

  /** Learns from one report. */
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
    const fillLoad = pressures.predict(fills);
    const expected = own.mean + fillLoad.load;
    const variance =
      own.variance + fillLoad.variance + noiseVarianceAt(expected);
    // A task that has just started reports a tail that is not yet its own.
    const limit = OUTLIER_DEVIATIONS * Math.sqrt(variance);
    const error = Math.max(-limit, Math.min(limit, load - expected));
    own.correct(error, variance);
    pressures.correct(fills, error, variance);
  }

  /** Forgets a group of tasks that no longer serve, and its tasks. */
  removeGroup(group: string, tasks: Iterable<string>): void {
    this.ownLoads.delete(group);
    for (const task of tasks) this.lastReadings.delete(task);
  }

  /** Load of a group's tasks without anything beside them. */
  ownLoadOf(group: string, nowMs: number): number {
    return this.ownLoads.get(group)?.levelAt(nowMs) ?? PRIOR_LOAD;
  }

  /** Load that the latest tails of a task show; undefined before the first. */
  observedLoadOf(task: string): number | undefined {
    return this.lastReadings.get(task)?.load;
  }

  /** Load on tasks of one image by all processors used by another. */
  pressureOf(image: string, fill: string): number {
    return this.pressures.get(image)?.meanOf(fill) ?? PRIOR_PRESSURE;
  }

  /** Load at which tasks of an image have this tail latency. */
  loadAt(image: string, tailMs: number): number {
    const shortest = this.shortestTails.get(image);
    if (shortest === undefined) return PRIOR_LOAD;
    return Math.min(MAX_LOAD, 1 - shortest / Math.max(tailMs, shortest));
  }

  /** What was learned of each pair of images, for logs. */
  pairs(): LearnedPair[] {
    return [...this.pressures].flatMap(([image, estimates]) =>
      [...estimates.images].map((fill) => ({
        image,
        fill,
        pressure: round(estimates.meanOf(fill)),
        deviation: round(estimates.standardDeviationOf(fill)),
      })),
    );
  }

  private recordReading({task, tailMs, nowMs}: TailReport, load: number): void {
    const last = this.lastReadings.get(task)?.load ?? load;
    const smoothed = last + (load - last) * SMOOTHING_FACTOR;
    this.lastReadings.set(task, {tailMs, nowMs, load: smoothed});
  }

  /** Workers renew a gauge each half second and may be asked more often. */
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
    let estimates = this.pressures.get(image);
    if (!estimates) {
      estimates = new PressureEstimates();
      this.pressures.set(image, estimates);
    }
    return estimates;
  }
}

/** Variance of a load that is read off a tail: a tail is 1 / (1 - load). */
function noiseVarianceAt(load: number): number {
  const deviation = RELATIVE_TAIL_DEVIATION * (1 - Math.min(MAX_LOAD, load));
  return MIN_NOISE_VARIANCE + deviation ** 2;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
