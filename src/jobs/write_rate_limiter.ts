/** Options of {@link WriteRateLimiter}. */
export interface WriteRateLimiterOptions {
  /** Writes per second in the long run. */
  writesPerSecond: number;
  /** Writes that may follow each other at once. @default 20 */
  burst?: number;
}

/** Token bucket that limits the page writes of a process. */
export class WriteRateLimiter {
  private writesPerSecond: number;
  private readonly burst: number;
  private tokens: number;
  private updatedMs = 0;

  constructor(options: WriteRateLimiterOptions) {
    this.writesPerSecond = options.writesPerSecond;
    this.burst = options.burst ?? 20;
    this.tokens = this.burst;
  }

  /** Changes the rate, for example when the number of schedulers changes. */
  setRate(writesPerSecond: number): void {
    this.writesPerSecond = writesPerSecond;
  }

  /** Takes the right to one write; false if the budget is spent. */
  tryAcquire(nowMs: number): boolean {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    this.updatedMs = nowMs;
    this.tokens = Math.min(
      this.burst,
      this.tokens + (elapsedMs * this.writesPerSecond) / 1000,
    );
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
