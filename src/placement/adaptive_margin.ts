/** Options of {@link AdaptiveMargin}. */
export interface AdaptiveMarginOptions {
  /** Initial factor on an estimate. @default 1.15 */
  first?: number;
  /** Accepted fraction of undersized estimates, 0 to 1. @default 0.005 */
  acceptedUndersizeRate?: number;
}

/** Growth of the margin after an undersized estimate. */
const GROWTH_FACTOR = 1.1;
/** Bounds of the margin. */
const MIN_FACTOR = 1.02;
const MAX_FACTOR = 2;

/**
 * Safety factor on estimates. It grows with each task that exceeded its
 * estimate and shrinks slightly with each task that fitted. It converges to the
 * point where the accepted fraction of tasks exceeds its estimate; a smaller
 * margin would lose more work than the saved memory can do.
 */
export class AdaptiveMargin {
  private current: number;
  private readonly shrinkage: number;

  constructor(options: AdaptiveMarginOptions = {}) {
    this.current = options.first ?? 1.15;
    const undersizeRate = options.acceptedUndersizeRate ?? 0.005;
    this.shrinkage = GROWTH_FACTOR ** (-undersizeRate / (1 - undersizeRate));
  }

  /** Current factor; at least 1. */
  get factor(): number {
    return this.current;
  }

  /** Grows the margin, because a task needed more than its estimate. */
  onUndersized(): void {
    this.current = Math.min(MAX_FACTOR, this.current * GROWTH_FACTOR);
  }

  /** Shrinks the margin, because a task fitted into its estimate. */
  onSufficient(): void {
    this.current = Math.max(MIN_FACTOR, this.current * this.shrinkage);
  }
}
