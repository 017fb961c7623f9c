/** Options of {@link SelfPayingMargin}. */
export interface SelfPayingMarginOptions {
  /** First factor on an estimate. @default 1.15 */
  first?: number;
  /** Part of the tasks that may turn out too large, 0 to 1. @default 0.005 */
  acceptedPart?: number;
}

const GROWTH = 1.1;
const LEAST = 1.02;
const MOST = 2;

/**
 * Factor on estimates that grows with each task that turned out too large and
 * shrinks a little with each that fitted. It settles where the accepted part
 * of the tasks turns out too large, that is where a smaller margin would lose
 * more work than the freed memory can do.
 */
export class SelfPayingMargin {
  private current: number;
  private readonly shrinkage: number;

  constructor(options: SelfPayingMarginOptions = {}) {
    this.current = options.first ?? 1.15;
    const part = options.acceptedPart ?? 0.005;
    this.shrinkage = GROWTH ** (-part / (1 - part));
  }

  /** Factor of at least 1. */
  get factor(): number {
    return this.current;
  }

  /** A task needed more than the estimate. */
  tooSmall(): void {
    this.current = Math.min(MOST, this.current * GROWTH);
  }

  /** A task fitted into the estimate. */
  sufficient(): void {
    this.current = Math.max(LEAST, this.current * this.shrinkage);
  }
}
