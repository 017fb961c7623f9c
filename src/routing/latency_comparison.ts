import {URGENCIES, Urgency} from '../contracts/urgency.js';
import {RoutingResult} from './routing_policy.js';

/** Weight of the newest result of a target; it halves within 7 more results. */
const TARGET_SMOOTHING_FACTOR = 0.1;

/** Weight of the newest result in the variance, which spans all targets. */
const VARIANCE_SMOOTHING_FACTOR = 0.01;

/** Results in a class that are required before a target is compared. */
const MIN_SAMPLES = 5;

/** Age in ms above which a mean is ignored, because the load has changed. */
const MAX_AGE_MS = 5000;

/** Time in ms between two computations of the peers' medians. */
const MEDIAN_INTERVAL_MS = 50;

/**
 * Standard errors by which a deviation is significant. With tens of targets,
 * each compared continuously, 3 gave false positives on mixed run times.
 */
const OUTLIER_STANDARD_ERRORS = 4;

/** Ratio of the standard error of the moving mean to that of one sample. */
const STANDARD_ERROR_RATIO = Math.sqrt(
  TARGET_SMOOTHING_FACTOR / (2 - TARGET_SMOOTHING_FACTOR),
);

/** Latencies of one target in one urgency class. */
interface LatencyMean {
  /** Moving mean of the logarithms of the latencies in ms. */
  mean: number;
  samples: number;
  updatedAtMs: number;
}

interface TargetRecord {
  /** Moving mean of failures, 0 to 1. */
  failureRate: number;
  classes: Map<Urgency, LatencyMean>;
}

function logLatency(result: RoutingResult): number {
  return Math.log(Math.max(0.1, result.latencyMs));
}

function urgencyOf(result: RoutingResult): Urgency {
  return result.urgency ?? Urgency.STANDARD;
}

/**
 * Compares the latency of each target with that of its peers, separately for
 * each urgency class. Means are taken of logarithms, so that a few long
 * requests neither hide nor imitate a slow target. They are compared with the
 * current means of the peers: against a slowly moving reference, a target with
 * fewer recent results looked slow after each change of the load.
 */
export class LatencyComparison {
  private readonly records = new Map<string, TargetRecord>();
  private medians = new Map<Urgency, number>();
  private variance = 0;
  private mediansAtMs = -Infinity;

  /** Records a result that was received at `nowMs`. */
  record(result: RoutingResult, nowMs: number): void {
    const record = this.getOrCreateRecord(result.target);
    const failure = result.succeeded ? 0 : 1;
    record.failureRate +=
      TARGET_SMOOTHING_FACTOR * (failure - record.failureRate);
    if (!result.succeeded) return;
    const value = logLatency(result);
    const urgency = urgencyOf(result);
    const current = record.classes.get(urgency);
    if (!current || nowMs - current.updatedAtMs > MAX_AGE_MS) {
      const initial = {mean: value, samples: 1, updatedAtMs: nowMs};
      record.classes.set(urgency, initial);
      return;
    }
    const residual = value - current.mean;
    current.samples += 1;
    current.updatedAtMs = nowMs;
    current.mean +=
      Math.max(TARGET_SMOOTHING_FACTOR, 1 / current.samples) * residual;
    if (current.samples <= MIN_SAMPLES) return;
    this.variance +=
      VARIANCE_SMOOTHING_FACTOR * (residual * residual - this.variance);
  }

  /**
   * Returns the latency of one result relative to the median of the targets.
   */
  slowdownOfResult(result: RoutingResult, nowMs: number): number {
    const median = this.currentMedians(nowMs).get(urgencyOf(result));
    return median === undefined ? 1 : Math.exp(logLatency(result) - median);
  }

  /**
   * Returns how many times slower a target is than the median of the targets; 1
   * if the difference is not statistically significant.
   */
  slowdown(target: string, nowMs: number): number {
    const record = this.records.get(target);
    if (!record) return 1;
    const medians = this.currentMedians(nowMs);
    let sum = 0;
    let count = 0;
    for (const [urgency, entry] of record.classes) {
      const median = medians.get(urgency);
      if (median === undefined || !isCurrent(entry, nowMs)) continue;
      sum += entry.samples * (entry.mean - median);
      count += entry.samples;
    }
    const deviation = count === 0 ? 0 : sum / count;
    const error = Math.sqrt(this.variance) * STANDARD_ERROR_RATIO;
    return deviation < OUTLIER_STANDARD_ERRORS * error
      ? 1
      : Math.exp(deviation);
  }

  /**
   * Returns the fraction of recent requests to a target that failed, 0 to 1.
   */
  failureRate(target: string): number {
    return this.records.get(target)?.failureRate ?? 0;
  }

  /** Removes the results of a target. */
  remove(target: string): void {
    this.records.delete(target);
  }

  private getOrCreateRecord(target: string): TargetRecord {
    let record = this.records.get(target);
    if (!record) {
      record = {failureRate: 0, classes: new Map()};
      this.records.set(target, record);
    }
    return record;
  }

  private currentMedians(nowMs: number): ReadonlyMap<Urgency, number> {
    if (nowMs - this.mediansAtMs < MEDIAN_INTERVAL_MS) return this.medians;
    this.mediansAtMs = nowMs;
    this.medians = new Map();
    for (const urgency of URGENCIES) {
      const means = [...this.records.values()]
        .map((record) => record.classes.get(urgency))
        .filter((entry) => entry !== undefined && isCurrent(entry, nowMs))
        .map((entry) => entry!.mean)
        .sort((a, b) => a - b);
      // For an even number of means, this is the lower of the two middle ones.
      const median = means[(means.length - 1) >> 1];
      if (median !== undefined) this.medians.set(urgency, median);
    }
    return this.medians;
  }
}

function isCurrent(entry: LatencyMean, nowMs: number): boolean {
  return (
    entry.samples >= MIN_SAMPLES && nowMs - entry.updatedAtMs <= MAX_AGE_MS
  );
}
