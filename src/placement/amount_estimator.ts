import {WindowedQuantiles} from './windowed_quantiles.js';

/** Ratios are stored as integers in thousandths. */
const RATIO_SCALE = 1_000;
/**
 * Number of samples at which measured and declared amount have equal weight.
 */
const PRIOR_SAMPLES = 6;
/** Quantile whose ratio to the median measures the spread. */
const SPREAD_QUANTILE = 0.95;

/**
 * Estimates one resource amount that tasks of a kind need. It tracks both the
 * absolute amount and the ratio to the declared amount, and uses whichever
 * varies less: some callers declare in proportion to the need, others always
 * declare the same amount.
 */
export class AmountEstimator {
  private readonly amounts = new WindowedQuantiles();
  private readonly ratios = new WindowedQuantiles();

  /** Number of samples on which estimates are based. */
  get count(): number {
    return this.amounts.count;
  }

  /** Adds a sample: what a task needed and what was declared for it. */
  add(needed: number, declared: number): void {
    this.amounts.add(needed);
    if (declared > 0) this.ratios.add((needed / declared) * RATIO_SCALE);
  }

  /**
   * Estimates the need of a task. With few samples, the estimate stays close to
   * the declared amount (shrinkage).
   *
   * @param declared - Declared amount; 0 if none was declared.
   * @param options - `quantile`: fraction of the tasks, 0 to 1, that need no
   *     more than the estimate.
   */
  estimate(declared: number, options: {quantile: number}): number {
    const {count} = this.amounts;
    if (count === 0) return declared;
    const learned = this.learned(declared, options.quantile);
    if (declared <= 0) return learned;
    const weight = count / (count + PRIOR_SAMPLES);
    return weight * learned + (1 - weight) * declared;
  }

  private learned(declared: number, quantile: number): number {
    const amount = this.amounts.quantile(quantile);
    if (declared <= 0 || this.ratios.count < this.amounts.count) return amount;
    const usesRatio = spread(this.ratios) < spread(this.amounts);
    if (!usesRatio) return amount;
    return (this.ratios.quantile(quantile) / RATIO_SCALE) * declared;
  }
}

function spread(samples: WindowedQuantiles): number {
  return samples.quantile(SPREAD_QUANTILE) / Math.max(1, samples.quantile(0.5));
}
