/** Time in ms after which half of the past is forgotten. */
const WINDOW_MS = 1000;

/** Shorter observations are too coarse to refuse anybody. */
const MIN_OBSERVED_MS = 50;

/** Measures how fast requests leave a queue while it is not empty. */
export class DrainPace {
  private sinceMs = 0;
  private taken = 0;

  /** Starts to observe, because the queue is no longer empty. */
  start(nowMs: number): void {
    this.sinceMs = nowMs;
    this.taken = 0;
  }

  /** Records that a request left the queue to be served. */
  record(): void {
    this.taken += 1;
  }

  /**
   * Returns the time in ms between two departures, or undefined if the
   * observation is shorter than `minObservedMs`.
   */
  intervalMs(nowMs: number, minObservedMs: number): number | undefined {
    let elapsedMs = nowMs - this.sinceMs;
    if (elapsedMs < Math.max(MIN_OBSERVED_MS, minObservedMs)) return undefined;
    const interval = elapsedMs / Math.max(0.5, this.taken);
    if (elapsedMs > Math.max(WINDOW_MS, 2 * minObservedMs)) {
      elapsedMs /= 2;
      this.sinceMs = nowMs - elapsedMs;
      this.taken /= 2;
    }
    return interval;
  }
}
