/** Minimum rate of the clock of a worker relative to true time. */
const MIN_CLOCK_RATE = 0.98;

/**
 * Time in ms by which a reading may be behind the least possible one before it
 * shows that the worker has restarted.
 */
const CLOCK_TOLERANCE_MS = 1500;

/**
 * What is known of the monotonic clock of a worker by its latest reading. A
 * process that was paused or busy reads a response later than it was written, so
 * a reading gives a lower bound of the clock at the time of reading.
 */
export class WorkerClock {
  private clockMs = 0;
  private readMs = -Infinity;

  /**
   * Records a reading.
   *
   * @param clockMs - Clock of the worker in ms.
   * @param readMs - Time in ms at which it was read.
   */
  record(clockMs: number, readMs: number): void {
    this.clockMs = clockMs;
    this.readMs = readMs;
  }

  /**
   * Returns the end, on the clock of the worker, of a lease.
   *
   * @param nowMs - Time in ms at which the lease is granted.
   * @param holdMs - Length of the lease in ms.
   */
  leaseLimit(nowMs: number, holdMs: number): number {
    return this.clockMs + (nowMs - this.readMs) + holdMs;
  }

  /** Returns the latest time in ms at which the clock may show a time in ms. */
  latestTimeOf(clockMs: number): number {
    return this.readMs + (clockMs - this.clockMs) / MIN_CLOCK_RATE;
  }

  /**
   * Returns whether a reading shows that the worker has restarted since the
   * latest one. The worker took it no earlier than the command was sent; when
   * the response was read tells nothing.
   *
   * @param clockMs - Clock of the worker in ms, from the response to a command.
   * @param sentMs - Time in ms at which the command was sent.
   */
  isReset(clockMs: number, sentMs: number): boolean {
    const elapsedMs = sentMs - this.readMs;
    const rate = elapsedMs > 0 ? MIN_CLOCK_RATE : 1;
    const leastMs = this.clockMs + elapsedMs * rate;
    return clockMs < leastMs - CLOCK_TOLERANCE_MS;
  }
}
