/** Options of {@link AdaptiveMargin}. */
export interface AdaptiveMarginOptions {
  /** First factor on an estimate. @default 1.15 */
  first?: number;
  /** Part of the tasks that may turn out too large, 0 to 1. @default 0.005 */
  acceptedUndersizeRate?: number;
}

const GROWTH_FACTOR = 1.1;
const MIN_FACTOR = 1.02;
const MAX_FACTOR = 2;

/**
 * Factor on estimates that grows with each task that turned out too large and
 * shrinks a little with each that fitted. It settles where the accepted part
 * of the tasks turns out too large, that is where a smaller margin would lose
 * more work than the freed memory can do.
 */
export class AdaptiveMargin {
  private current: number;
  private readonly shrinkage: number;

  constructor(options: AdaptiveMarginOptions = {}) {
    this.current = options.first ?? 1.15;
    const undersizeRate = options.acceptedUndersizeRate ?? 0.005;
    this.shrinkage = GROWTH_FACTOR ** (-undersizeRate / (1 - undersizeRate));
  }

  /** Factor of at least 1. */
  get factor(): number {
    return this.current;
  }

  /** A task needed more than the estimate. */
  onUndersized(): void {
    this.current = Math.min(MAX_FACTOR, this.current * GROWTH_FACTOR);
  }

  /** A task fitted into the estimate. */
  onSufficient(): void {
    this.current = Math.max(MIN_FACTOR, this.current * this.shrinkage);
  }
}
