import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';

/** Longest random wait in ms before the next call after a failed one. */
const MAX_BACKOFF_MS = 2000;

/**
 * Holds calls back for a random time after one has failed, so that the
 * processes don't all call at once when an outage of the platform ends.
 */
export class PlatformBackoff {
  private retryAtMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Tells whether a call may be made now. */
  get allowsCalls(): boolean {
    return this.clock.nowMs() >= this.retryAtMs;
  }

  /** Notes that a call has failed. */
  recordFailure(): void {
    if (!this.allowsCalls) return;
    this.retryAtMs = this.clock.nowMs() + MAX_BACKOFF_MS * this.random.next();
  }
}
