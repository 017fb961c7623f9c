/** Prior mean of a load. */
export const PRIOR_LOAD = 0.4;

/** Prior variance of a load. */
const PRIOR_VARIANCE = 0.08;

/** Prior variance of the slope of a load, which is its change per second. */
const PRIOR_SLOPE_VARIANCE = 0.02;

/**
 * Standard deviation of the acceleration of a load in 1/s², as of a load of
 * 0.45 that oscillates by half of its value with a period of 14 s.
 */
const ACCELERATION_DEVIATION = 0.04;

/** Maximum time in seconds over which a load is extrapolated by its slope. */
const MAX_PREDICTION_SECONDS = 1.5;

/**
 * Gap in ms between observations after which the state is reset to the prior.
 */
const STALE_AFTER_MS = 4000;

const MS_PER_SECOND = 1000;

/**
 * Tracks a load that rises and falls smoothly, by a Kalman filter over its
 * level and slope.
 */
export class LoadTracker {
  private level = PRIOR_LOAD;
  private slope = 0;
  private levelVariance = PRIOR_VARIANCE;
  private slopeVariance = PRIOR_SLOPE_VARIANCE;
  private covariance = 0;

  /** @param updatedMs - Time in ms of the first observation. */
  constructor(private updatedMs: number) {}

  /** Variance of the level at the time of the last {@link advance}. */
  get variance(): number {
    return this.levelVariance;
  }

  /** Level at the time of the last {@link advance}. */
  get mean(): number {
    return this.level;
  }

  /**
   * Returns the expected level at a time; extrapolation is limited to 1.5 s.
   */
  levelAt(nowMs: number): number {
    const seconds = (nowMs - this.updatedMs) / MS_PER_SECOND;
    const horizonSeconds = Math.min(seconds, MAX_PREDICTION_SECONDS);
    return Math.max(0, this.level + this.slope * horizonSeconds);
  }

  /** Advances the filter to a later time (prediction step). */
  advance(nowMs: number): void {
    const seconds = (nowMs - this.updatedMs) / MS_PER_SECOND;
    if (seconds <= 0) return;
    if (nowMs - this.updatedMs > STALE_AFTER_MS) {
      Object.assign(this, new LoadTracker(nowMs));
      return;
    }
    this.updatedMs = nowMs;
    this.level += this.slope * seconds;
    const noise = ACCELERATION_DEVIATION ** 2;
    this.levelVariance +=
      2 * seconds * this.covariance +
      seconds ** 2 * this.slopeVariance +
      (noise * seconds ** 4) / 4;
    this.covariance +=
      seconds * this.slopeVariance + (noise * seconds ** 3) / 2;
    this.slopeVariance += noise * seconds ** 2;
  }

  /**
   * Updates the filter with an observation at the time of the last
   * {@link advance} (correction step).
   *
   * @param error - Innovation: observed minus expected value.
   * @param variance - Variance of the innovation.
   */
  correct(error: number, variance: number): void {
    const levelGain = this.levelVariance / variance;
    const slopeGain = this.covariance / variance;
    this.level += levelGain * error;
    this.slope += slopeGain * error;
    this.slopeVariance -= slopeGain * this.covariance;
    this.covariance *= 1 - levelGain;
    this.levelVariance *= 1 - levelGain;
  }
}
