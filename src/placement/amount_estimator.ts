import {WindowedQuantiles} from './windowed_quantiles.js';

/** Ratios are stored as whole numbers of thousandths. */
const RATIO_SCALE = 1_000;
/** Samples at which a learned amount weighs as much as a declared one. */
const PRIOR_SAMPLES = 6;
const SPREAD_QUANTILE = 0.95;

/**
 * One amount that tasks of a kind need, learned twice: as an amount, and in
 * proportion to what was declared. The one that varies less is used, because
 * some callers declare in proportion and others always the same.
 */
export class AmountEstimator {
  private readonly amounts = new WindowedQuantiles();
  private readonly ratios = new WindowedQuantiles();

  /** Number of samples that are remembered. */
  get count(): number {
    return this.amounts.count;
  }

  /** Adds what a task needed and what had been declared for it. */
  add(needed: number, declared: number): void {
    this.amounts.add(needed);
    if (declared > 0) this.ratios.add((needed / declared) * RATIO_SCALE);
  }

  /**
   * Estimates the need of a task. With few samples the estimate stays near the
   * declared amount (shrinkage).
   *
   * @param declared - What was declared; 0 if nothing was.
   * @param options - `quantile`: part of the tasks, 0 to 1, that need no more.
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
