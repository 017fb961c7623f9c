/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries per request, 0 to 1. @default 0.1 */
  ratio?: number;
  /** Largest number of retries that can accumulate. @default 20 */
  maxBalance?: number;
}

/**
 * Limits retries to a fraction of all requests, so that retries cannot multiply
 * the load while targets fail. The budget starts empty: at any time, the number
 * of retries so far is at most `ratio` of the number of requests so far.
 */
export class RetryBudget {
  private readonly ratio: number;
  private readonly maxBalance: number;
  private balance = 0;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? 0.1;
    this.maxBalance = options.maxBalance ?? 20;
  }

  /** Records a request that is sent for the first time. */
  recordRequest(): void {
    this.balance = Math.min(this.maxBalance, this.balance + this.ratio);
  }

  /** Charges one retry to the budget; returns false if none is left. */
  tryAcquire(): boolean {
    // Sums of 0.1 may fall short of an integer by rounding errors.
    if (this.balance < 1 - 1e-9) return false;
    this.balance -= 1;
    return true;
  }
}
