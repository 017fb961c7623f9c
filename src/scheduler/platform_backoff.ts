import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';

/** Upper bound of the random delay in ms after a failed call. */
const MAX_BACKOFF_MS = 2000;

/**
 * Suspends platform calls for a random time after a failure, so that the
 * processes do not all retry at once when an outage ends.
 */
export class PlatformBackoff {
  private retryAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Whether a call may be made now. */
  get allowsCalls(): boolean {
    return this.clock.nowMs() >= this.retryAtMs;
  }

  /** Starts a delay after a failed call, unless one is running already. */
  recordFailure(): void {
    if (!this.allowsCalls) return;
    this.retryAtMs = this.clock.nowMs() + MAX_BACKOFF_MS * this.random.next();
  }
}
