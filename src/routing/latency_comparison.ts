import {Urgency} from '../contracts/urgency.js';
import {RoutingResult} from './routing_policy.js';

/** Weight of the newest result of a target; half of it fades in 7 results. */
const TARGET_WEIGHT = 0.1;

/** Weight of the newest result in values over all targets. */
const COMMON_WEIGHT = 0.01;

/** Results of a target that are needed before it is judged. */
const MIN_SAMPLES = 5;

/** Time in ms between two computations of the peers' median. */
const MEDIAN_INTERVAL_MS = 50;

/**
 * Standard errors that a deviation must exceed. With tens of targets, each
 * judged continuously, 3 gave wrong positives on mixed run times.
 */
const MIN_STANDARD_ERRORS = 4;

/** Ratio of the standard error of the moving mean to that of one sample. */
const MEAN_ERROR = Math.sqrt(TARGET_WEIGHT / (2 - TARGET_WEIGHT));

interface TargetRecord {
  deviation: number;
  failures: number;
  samples: number;
}

/**
 * Compares the latency of each target with that of its peers. It works with
 * logarithms, so that a few long requests don't hide or imitate a slow
 * target, and relative to the usual latency of the request's class.
 */
export class LatencyComparison {
  private readonly records = new Map<string, TargetRecord>();
  private readonly usual = new Map<Urgency, number>();
  private variance = 0;
  private median = 0;
  private medianAtMs = -Infinity;

  /** Records a result. */
  add(result: RoutingResult): void {
    const record = this.recordOf(result.target);
    const failure = result.succeeded ? 0 : 1;
    record.failures += TARGET_WEIGHT * (failure - record.failures);
    if (!result.succeeded) return;
    const deviation = this.deviationOf(result);
    const residual = deviation - record.deviation;
    record.samples += 1;
    const weight = Math.max(TARGET_WEIGHT, 1 / (record.samples + 1));
    record.deviation += weight * residual;
    if (record.samples <= MIN_SAMPLES) return;
    this.variance += COMMON_WEIGHT * (residual * residual - this.variance);
  }

  /** Latency of one result relative to the peers'; 1 is usual. */
  resultRatio(result: RoutingResult): number {
    const logarithm = Math.log(Math.max(0.1, result.latencyMs));
    const usual = this.usual.get(result.urgency ?? Urgency.STANDARD);
    return Math.exp(logarithm - (usual ?? logarithm) - this.median);
  }

  /**
   * Returns how many times slower than the peers' median a target is; 1 if
   * the difference may be chance.
   */
  ratio(target: string, nowMs: number): number {
    const record = this.records.get(target);
    if (!record || record.samples < MIN_SAMPLES) return 1;
    const deviation = record.deviation - this.currentMedian(nowMs);
    const error = Math.sqrt(this.variance) * MEAN_ERROR;
    return deviation < MIN_STANDARD_ERRORS * error ? 1 : Math.exp(deviation);
  }

  /** Part of the target's recent requests that failed, 0 to 1. */
  failureFraction(target: string): number {
    return this.records.get(target)?.failures ?? 0;
  }

  /** Forgets what is known of a target. */
  forget(target: string): void {
    this.records.delete(target);
  }

  private recordOf(target: string): TargetRecord {
    let record = this.records.get(target);
    if (!record) {
      record = {deviation: this.median, failures: 0, samples: 0};
      this.records.set(target, record);
    }
    return record;
  }

  private deviationOf(result: RoutingResult): number {
    const urgency = result.urgency ?? Urgency.STANDARD;
    const logarithm = Math.log(Math.max(0.1, result.latencyMs));
    const usual = this.usual.get(urgency) ?? logarithm;
    this.usual.set(urgency, usual + COMMON_WEIGHT * (logarithm - usual));
    return logarithm - usual;
  }

  private currentMedian(nowMs: number): number {
    if (nowMs - this.medianAtMs < MEDIAN_INTERVAL_MS) return this.median;
    this.medianAtMs = nowMs;
    const deviations = [...this.records.values()]
      .filter((record) => record.samples >= MIN_SAMPLES)
      .map((record) => record.deviation)
      .sort((a, b) => a - b);
    // With an even number, the faster half's slowest target is the reference.
    this.median = deviations[(deviations.length - 1) >> 1] ?? 0;
    return this.median;
  }
}
