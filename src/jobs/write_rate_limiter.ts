/** Options of {@link WriteRateLimiter}. */
export interface WriteRateLimiterOptions {
  /** Average number of writes per second. */
  writesPerSecond: number;
  /** Maximum number of writes in a burst. @default 20 */
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

  /** Consumes a token for one write; returns false if there is none. */
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
