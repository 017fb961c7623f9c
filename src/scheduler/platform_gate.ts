import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';

/** Longest random wait in ms before the next call after a failed one. */
const LONGEST_WAIT_MS = 2000;

/**
 * Holds calls back for a random time after one has failed, so that the
 * processes don't all call at once when an outage of the platform ends.
 */
export class PlatformGate {
  private closedUntilMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Tells whether a call may be made now. */
  get isOpen(): boolean {
    return this.clock.nowMs() >= this.closedUntilMs;
  }

  /** Notes that a call has failed. */
  noteFailure(): void {
    if (!this.isOpen) return;
    this.closedUntilMs =
      this.clock.nowMs() + LONGEST_WAIT_MS * this.random.next();
  }
}
