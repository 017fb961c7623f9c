/** Time in ms after which half of the past is forgotten. */
const WINDOW_MS = 1000;

/** Shorter observations are too coarse to refuse anybody. */
const MIN_OBSERVED_MS = 50;

/**
 * With fewer departures an estimate is only made after a whole window: at the
 * start of a burst the process reads requests before it serves them, and two
 * departures in 50 ms once predicted 5 s for a queue that drained in 40 ms.
 */
const MIN_DEPARTURES = 16;

/** Measures how fast requests leave a queue while it is not empty. */
export class DrainPace {
  private sinceMs = 0;
  private taken = 0;

  /** Starts to observe, because the queue is no longer empty. */
  start(nowMs: number): void {
    this.sinceMs = nowMs;
    this.taken = 0;
  }

  /** Leaves out a time in which the process was paused and served nothing. */
  skip(pauseMs: number): void {
    this.sinceMs += pauseMs;
  }

  /** Records that a request left the queue to be served. */
  record(): void {
    this.taken += 1;
  }

  /** Forgets a departure of a request that was not served. */
  withdraw(): void {
    this.taken = Math.max(0, this.taken - 1);
  }

  /**
   * Returns the time in ms between two departures, or undefined if the
   * observation is shorter than `minObservedMs`.
   */
  intervalMs(nowMs: number, minObservedMs: number): number | undefined {
    let elapsedMs = nowMs - this.sinceMs;
    const leastMs = this.taken < MIN_DEPARTURES ? WINDOW_MS : MIN_OBSERVED_MS;
    if (elapsedMs < Math.max(leastMs, minObservedMs)) return undefined;
    const interval = elapsedMs / Math.max(0.5, this.taken);
    if (elapsedMs > Math.max(WINDOW_MS, 2 * minObservedMs)) {
      elapsedMs /= 2;
      this.sinceMs = nowMs - elapsedMs;
      this.taken /= 2;
    }
    return interval;
  }
}
