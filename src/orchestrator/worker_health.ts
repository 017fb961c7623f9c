/** Time in ms in which half of the counted ends are forgotten. */
const HALF_LIFE_MS = 4000;

/** Weight of recent failures from which a worker is suspected. */
const SUSPECT_FAILURES = 1.7;

/** Failures per success from which a worker is suspected. */
const SUSPECT_RATIO = 1;

/** Tells workers that fail what they start from workers that are sound. */
export class WorkerHealth {
  private failures = 0;
  private successes = 0;
  private lastDecayMs = 0;
  private blockedUntilMs = -Infinity;

  /** Counts a run that ended as failed. */
  recordFailure(nowMs: number): void {
    this.decay(nowMs);
    this.failures += 1;
  }

  /** Counts a run that ended as done. */
  recordSuccess(nowMs: number): void {
    this.decay(nowMs);
    this.successes += 1;
  }

  /** Keeps new tasks away for a time. */
  block(nowMs: number, durationMs: number): void {
    this.blockedUntilMs = Math.max(this.blockedUntilMs, nowMs + durationMs);
  }

  /** Tells whether the worker gets no new tasks now. */
  isBlocked(nowMs: number): boolean {
    return nowMs < this.blockedUntilMs;
  }

  /** Tells whether most of what was started here lately has failed. */
  isSuspect(nowMs: number): boolean {
    this.decay(nowMs);
    return (
      this.failures > SUSPECT_FAILURES &&
      this.failures > this.successes * SUSPECT_RATIO
    );
  }

  private decay(nowMs: number): void {
    const factor = 0.5 ** ((nowMs - this.lastDecayMs) / HALF_LIFE_MS);
    this.failures *= factor;
    this.successes *= factor;
    this.lastDecayMs = nowMs;
  }
}
