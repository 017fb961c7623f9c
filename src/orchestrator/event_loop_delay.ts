/** Time in ms for which the largest delay is remembered. */
const WINDOW_MS = 500;

/** Delay in ms from which the process is behind. */
const BEHIND_MS = 200;

/**
 * Measures how late timers run, which is how far the process is behind with the
 * events that reach it.
 */
export class EventLoopDelay {
  private windowStartMs = -Infinity;
  private currentMaxMs = 0;
  private previousMaxMs = 0;

  /**
   * Records the run of a timer.
   *
   * @param dueMs - Time in ms at which it was due.
   */
  record(dueMs: number, nowMs: number): void {
    this.beginWindow(nowMs);
    this.currentMaxMs = Math.max(this.currentMaxMs, nowMs - dueMs);
  }

  /** Returns the largest delay in ms of the last half second to second. */
  delayMs(nowMs: number): number {
    this.beginWindow(nowMs);
    return Math.max(this.currentMaxMs, this.previousMaxMs);
  }

  /** Whether the process is behind, so that it should leave what can wait. */
  isBehind(nowMs: number): boolean {
    return this.delayMs(nowMs) >= BEHIND_MS;
  }

  private beginWindow(nowMs: number): void {
    const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
    if (windows < 1) return;
    this.previousMaxMs = windows === 1 ? this.currentMaxMs : 0;
    this.currentMaxMs = 0;
    this.windowStartMs = nowMs;
  }
}
