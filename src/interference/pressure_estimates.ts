/** Load by tasks on all processors of a worker before anything is known. */
export const PRIOR_PRESSURE = 1.2;

const PRIOR_VARIANCE = 1.5;

/** Growth in a second of the variance of a pressure. */
const VARIANCE_GROWTH_PER_SECOND = 0.001;

const MS_PER_SECOND = 1000;

/** Use of a worker by tasks of one image, as a share of its processors. */
export interface ImageUsage {
  image: string;
  share: number;
}

/**
 * Estimates of the pressures that several images put on one: a Kalman filter
 * with the covariances between them, since images that run beside each other
 * are seen together.
 */
export class PressureEstimates {
  private readonly positions = new Map<string, number>();
  private readonly means: number[] = [];
  private readonly covariances: number[][] = [];
  private updatedMs = -Infinity;

  /** Images of which something is known. */
  get images(): Iterable<string> {
    return this.positions.keys();
  }

  /** Estimated pressure of an image. */
  meanOf(image: string): number {
    const position = this.positions.get(image);
    return position === undefined ? PRIOR_PRESSURE : this.means[position]!;
  }

  /** Standard deviation of the estimate for an image. */
  standardDeviationOf(image: string): number {
    const position = this.positions.get(image);
    if (position === undefined) return Math.sqrt(PRIOR_VARIANCE);
    return Math.sqrt(this.covariances[position]![position]!);
  }

  /** Makes older knowledge less certain, up to the prior. */
  advance(nowMs: number): void {
    const seconds = (nowMs - this.updatedMs) / MS_PER_SECOND;
    this.updatedMs = nowMs;
    if (!Number.isFinite(seconds) || seconds <= 0) return;
    this.covariances.forEach((row, position) => {
      const grown = row[position]! + VARIANCE_GROWTH_PER_SECOND * seconds;
      row[position] = Math.min(PRIOR_VARIANCE, grown);
    });
  }

  /** Expected load by these uses, and its variance. */
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
   * Takes an observation of the load by these uses.
   *
   * @param error - Observed less expected value.
   * @param variance - Variance of that error.
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

  /** Product of the covariances with the shares. */
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
    if (known !== undefined) return known;
    const position = this.means.length;
    this.positions.set(image, position);
    this.means.push(PRIOR_PRESSURE);
    for (const row of this.covariances) row.push(0);
    const row = new Array<number>(position + 1).fill(0);
    row[position] = PRIOR_VARIANCE;
    this.covariances.push(row);
    return position;
  }
}
