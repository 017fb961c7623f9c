/** Observation time in ms after which earlier samples are halved in weight. */
const WINDOW_MS = 1000;

/**
 * Minimum observation in ms; shorter ones are too coarse to reject requests.
 */
const MIN_OBSERVATION_MS = 50;

/**
 * With fewer dequeued requests, an estimate requires a whole window. At the
 * start of a burst the process reads requests before it serves any: two
 * dequeued requests in 50 ms predicted a wait of 5 s for a queue that drained
 * in 40 ms.
 */
const MIN_DEQUEUED = 16;

/** Estimates the rate at which requests are dequeued from a nonempty queue. */
export class DequeueRateEstimator {
  private windowStartMs = 0;
  private dequeued = 0;

  /** Starts a new observation when the queue becomes nonempty. */
  start(nowMs: number): void {
    this.windowStartMs = nowMs;
    this.dequeued = 0;
  }

  /** Excludes a time during which the process was paused and served nothing. */
  excludePause(pauseMs: number): void {
    this.windowStartMs += pauseMs;
  }

  /** Records that a request was dequeued to be served. */
  recordDequeue(): void {
    this.dequeued += 1;
  }

  /** Reverts {@link recordDequeue} for a request that was not served. */
  undoDequeue(): void {
    this.dequeued = Math.max(0, this.dequeued - 1);
  }

  /**
   * Returns the mean time in ms between two dequeued requests, or undefined if
   * the observation is too short.
   *
   * @param minObservationMs - Minimum observation that the caller requires.
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
