/**
 * Prior mean of a pressure, which is the load that tasks of one image put on a
 * latency-critical task when they use all processors of its worker.
 */
export const PRIOR_PRESSURE = 1.2;

/** Prior variance of a pressure. */
const PRIOR_VARIANCE = 1.5;

/** Process noise: growth of the variance of a pressure per second. */
const VARIANCE_GROWTH_PER_SECOND = 0.001;

const MS_PER_SECOND = 1000;

/**
 * Maximum number of images with an estimate. Callers name their images freely,
 * and the covariances grow with the square of their number.
 */
const MAX_IMAGES = 64;

/** Usage of a worker by tasks of one image, as a share of its processors. */
export interface ImageUsage {
  image: string;
  share: number;
}

/**
 * Estimates the pressures that several images put on one latency-critical
 * image. A Kalman filter with full covariances, because images that run on the
 * same worker are observed together.
 */
export class PressureEstimates {
  /**
   * Position of each image in the means and covariances, in the order of their
   * latest use.
   */
  private readonly positions = new Map<string, number>();
  private readonly means: number[] = [];
  private readonly covariances: number[][] = [];
  private updatedMs = -Infinity;

  /** Images with an estimate. */
  get images(): Iterable<string> {
    return this.positions.keys();
  }

  /** Returns the estimated pressure of an image. */
  meanOf(image: string): number {
    const position = this.positions.get(image);
    return position === undefined ? PRIOR_PRESSURE : this.means[position]!;
  }

  /** Returns the standard deviation of the estimate for an image. */
  standardDeviationOf(image: string): number {
    const position = this.positions.get(image);
    if (position === undefined) return Math.sqrt(PRIOR_VARIANCE);
    return Math.sqrt(this.covariances[position]![position]!);
  }

  /**
   * Advances the filter: variances grow with time, up to the prior variance.
   */
  advance(nowMs: number): void {
    const seconds = (nowMs - this.updatedMs) / MS_PER_SECOND;
    this.updatedMs = nowMs;
    if (!Number.isFinite(seconds) || seconds <= 0) return;
    this.covariances.forEach((row, position) => {
      const grown = row[position]! + VARIANCE_GROWTH_PER_SECOND * seconds;
      row[position] = Math.min(PRIOR_VARIANCE, grown);
    });
  }

  /** Returns the expected load caused by these uses, and its variance. */
  predict(uses: readonly ImageUsage[]): {load: number; variance: number} {
    const weighted = this.multiplyCovariances(uses);
    let load = 0;
    let variance = 0;
    for (const {image, share} of uses) {
      const position = this.positionOf(image);
      load += this.means[position]! * share;
      variance += weighted[position]! * share;
    }
    return {load, variance};
  }

  /**
   * Updates the estimates with an observed load.
   *
   * @param uses - Usage that caused the load.
   * @param error - Innovation: observed minus expected load.
   * @param variance - Variance of the innovation.
   */
  correct(uses: readonly ImageUsage[], error: number, variance: number): void {
    if (uses.length === 0) return;
    const weighted = this.multiplyCovariances(uses);
    weighted.forEach((weight, position) => {
      const mean = this.means[position]! + (weight / variance) * error;
      this.means[position] = Math.max(0, mean);
      const row = this.covariances[position]!;
      weighted.forEach((other, column) => {
        row[column]! -= (weight * other) / variance;
      });
    });
  }

  /** Returns the product of the covariance matrix and the shares. */
  private multiplyCovariances(uses: readonly ImageUsage[]): number[] {
    const columns = uses.map(
      ({image, share}) => [this.positionOf(image), share] as const,
    );
    return this.covariances.map((row) => {
      let sum = 0;
      for (const [column, share] of columns) sum += row[column]! * share;
      return sum;
    });
  }

  private positionOf(image: string): number {
    const known = this.positions.get(image);
    const position = known ?? this.freePosition();
    this.positions.delete(image);
    this.positions.set(image, position);
    if (known === undefined) this.resetEstimate(position);
    return position;
  }

  /** Returns a new position, or that of the least recently used image. */
  private freePosition(): number {
    if (this.positions.size < MAX_IMAGES) return this.positions.size;
    const [oldest] = this.positions;
    const [image, position] = oldest!;
    this.positions.delete(image);
    return position;
  }

  /** Sets the estimate at a position to the prior. */
  private resetEstimate(position: number): void {
    this.means[position] = PRIOR_PRESSURE;
    for (const row of this.covariances) row[position] = 0;
    const row = new Array<number>(this.means.length).fill(0);
    row[position] = PRIOR_VARIANCE;
    this.covariances[position] = row;
  }
}
