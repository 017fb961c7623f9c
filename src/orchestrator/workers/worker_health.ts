/** Half-life in ms of the weight of a counted run. */
const HALF_LIFE_MS = 4000;

/** Decayed number of failures above which a worker may be suspect. */
const SUSPECT_FAILURES = 1.7;

/** Ratio of failures to successes above which a worker may be suspect. */
const SUSPECT_RATIO = 1;

/** Tracks the recent results of runs on a worker to detect a faulty worker. */
export class WorkerHealth {
  private failures = 0;
  private successes = 0;
  private lastDecayMs = 0;
  private blockedUntilMs = -Infinity;

  /** Counts a failed run. */
  recordFailure(nowMs: number): void {
    this.decay(nowMs);
    this.failures += 1;
  }

  /** Counts a successful run. */
  recordSuccess(nowMs: number): void {
    this.decay(nowMs);
    this.successes += 1;
  }

  /** Blocks the assignment of new tasks for a duration in ms. */
  block(nowMs: number, durationMs: number): void {
    this.blockedUntilMs = Math.max(this.blockedUntilMs, nowMs + durationMs);
  }

  /** Returns whether the assignment of new tasks is blocked. */
  isBlocked(nowMs: number): boolean {
    return nowMs < this.blockedUntilMs;
  }

  /** Returns whether most of the recent runs on the worker failed. */
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
