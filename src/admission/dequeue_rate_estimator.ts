/** Time in ms after which half of the past is forgotten. */
const WINDOW_MS = 1000;

/** Shorter observations are too coarse to refuse anybody. */
const MIN_OBSERVATION_MS = 50;

/**
 * With fewer departures an estimate is only made after a whole window: at the
 * start of a burst the process reads requests before it serves them, and two
 * departures in 50 ms once predicted 5 s for a queue that drained in 40 ms.
 */
const MIN_DEQUEUED = 16;

/** Measures how fast requests leave a queue while it is not empty. */
export class DequeueRateEstimator {
  private windowStartMs = 0;
  private dequeued = 0;

  /** Starts to observe, because the queue is no longer empty. */
  start(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.dequeued = 0;
  }

  /** Leaves out a time in which the process was paused and served nothing. */
  excludePause(pauseMs: number): void {
    this.windowStartMs += pauseMs;
  }

  /** Records that a request left the queue to be served. */
  recordDequeue(): void {
    this.dequeued += 1;
  }

  /** Forgets a departure of a request that was not served. */
  undoDequeue(): void {
    this.dequeued = Math.max(0, this.dequeued - 1);
  }

  /**
   * Returns the time in ms between two departures, or undefined if the
   * observation is shorter than `minObservedMs`.
   */
  meanIntervalMs(nowMs: number, minObservationMs: number): number | undefined {
    let elapsedMs = nowMs - this.windowStartMs;
    const requiredMs =
      this.dequeued < MIN_DEQUEUED ? WINDOW_MS : MIN_OBSERVATION_MS;
    if (elapsedMs < Math.max(requiredMs, minObservationMs)) return undefined;
    const interval = elapsedMs / Math.max(0.5, this.dequeued);
    if (elapsedMs > Math.max(WINDOW_MS, 2 * minObservationMs)) {
      elapsedMs /= 2;
      this.windowStartMs = nowMs - elapsedMs;
      this.dequeued /= 2;
    }
    return interval;
  }
}
