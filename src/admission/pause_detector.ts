/** Interval in ms between ticks below which the timer counts as running. */
const MAX_TIMER_INTERVAL_MS = 200;

/** Gap in ms between calls above which the process was paused. */
const MIN_PAUSE_MS = 500;

/**
 * Detects that the process was paused, for example by SIGSTOP: although a timer
 * ticks every few ms, no call was recorded for much longer. Without a running
 * timer, no pause is detected.
 */
export class PauseDetector {
  private lastCallMs: number | undefined;
  private hasTimer = false;

  /** Records a tick of the timer; returns the length of a pause in ms, or 0. */
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
