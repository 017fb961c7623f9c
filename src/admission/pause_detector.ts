/** Interval in ms below which calls count as those of a running timer. */
const MAX_TIMER_INTERVAL_MS = 200;

/** Gap in ms between calls that a timer of a running process never shows. */
const MIN_PAUSE_MS = 500;

/**
 * Notices that the process was paused: its timer, which calls every few ms,
 * did not call for much longer. Without such a timer nothing is noticed.
 */
export class PauseDetector {
  private lastCallMs: number | undefined;
  private hasTimer = false;

  /** Records a call of the timer; returns the length of a pause, or 0. */
  recordTimerTick(nowMs: number): number {
    const gapMs = nowMs - (this.lastCallMs ?? -Infinity);
    if (gapMs < MAX_TIMER_INTERVAL_MS) this.hasTimer = true;
    return this.recordCall(nowMs);
  }

  /** Records any other call; returns the length of a pause in ms, or 0. */
  recordCall(nowMs: number): number {
    const gapMs = nowMs - (this.lastCallMs ?? nowMs);
    this.lastCallMs = nowMs;
    return this.hasTimer && gapMs > MIN_PAUSE_MS ? gapMs : 0;
  }
}
