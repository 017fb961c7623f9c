import {Clock} from '../clock/clock.js';

/** Options of {@link CallRateLimiter}. */
export interface CallRateLimiterOptions {
  clock: Clock;
  /** Average rate in calls per second. @default 20 */
  callsPerSecond?: number;
  /** Calls that may be made at once after an idle period. @default 10 */
  burst?: number;
}

/** Token bucket that limits the rate of a process's calls to the platform. */
export class CallRateLimiter {
  private tokens: number;
  private lastRefillMs: number;
  private readonly ratePerMs: number;
  private readonly burst: number;

  constructor(private readonly options: CallRateLimiterOptions) {
    this.ratePerMs = (options.callsPerSecond ?? 20) / 1000;
    this.burst = options.burst ?? 10;
    this.tokens = this.burst;
    this.lastRefillMs = options.clock.nowMs();
  }

  /** Consumes a token for one call; returns false if none is available. */
  tryAcquire(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Returns the time in ms until a token is available. */
  waitMs(): number {
    this.refill();
    return this.tokens >= 1 ? 0 : (1 - this.tokens) / this.ratePerMs;
  }

  private refill(): void {
    const nowMs = this.options.clock.nowMs();
    const refilled = (nowMs - this.lastRefillMs) * this.ratePerMs;
    this.tokens = Math.min(this.burst, this.tokens + refilled);
    this.lastRefillMs = nowMs;
  }
}
