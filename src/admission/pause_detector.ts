/** Interval in ms below which calls count as those of a running timer. */
const TIMER_INTERVAL_MS = 200;

/** Gap in ms between calls that a timer of a running process never shows. */
const PAUSE_MS = 500;

/**
 * Notices that the process was paused: its timer, which calls every few ms,
 * did not call for much longer. Without such a timer nothing is noticed.
 */
export class PauseDetector {
  private calledMs: number | undefined;
  private hasTimer = false;

  /** Records a call of the timer; returns the length of a pause, or 0. */
  timerCalled(nowMs: number): number {
    const gapMs = nowMs - (this.calledMs ?? -Infinity);
    if (gapMs < TIMER_INTERVAL_MS) this.hasTimer = true;
    return this.called(nowMs);
  }

  /** Records any other call; returns the length of a pause in ms, or 0. */
  called(nowMs: number): number {
    const gapMs = nowMs - (this.calledMs ?? nowMs);
    this.calledMs = nowMs;
    return this.hasTimer && gapMs > PAUSE_MS ? gapMs : 0;
  }
}
