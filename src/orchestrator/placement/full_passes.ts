/**
 * Number of waiting jobs from which on a pass over all of them takes longer than
 * an urgent start may wait for it.
 */
const MANY_JOBS = 64;

/** Time in ms between two passes over all jobs while many wait. */
const FULL_PASS_INTERVAL_MS = 40;

/** Decides which scheduling passes look at all jobs that wait. */
export class FullPasses {
  private lastMs = -Infinity;
  private waitingJobs = 0;

  /** @param isLimited - Whether any pass may be limited to urgent jobs. */
  constructor(private readonly isLimited: boolean) {}

  /** Returns whether a pass at a time in ms looks at all jobs. */
  isDue(nowMs: number): boolean {
    if (!this.isLimited || this.waitingJobs < MANY_JOBS) return true;
    return nowMs - this.lastMs >= FULL_PASS_INTERVAL_MS;
  }

  /** Records a pass over all jobs, and how many of them wait. */
  record(waitingJobs: number, nowMs: number): void {
    this.waitingJobs = waitingJobs;
    this.lastMs = nowMs;
  }
}
