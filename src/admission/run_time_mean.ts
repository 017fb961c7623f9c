/** Weight of the newest run time in the moving mean. */
const SMOOTHING_FACTOR = 0.05;

/** Estimated run time in ms before the first request has ended. */
const INITIAL_ESTIMATE_MS = 10;

/** Exponentially weighted moving mean of run times. */
export class RunTimeMean {
  private mean: number | undefined;

  /** Mean in ms, or undefined before the first run time. */
  get meanMs(): number | undefined {
    return this.mean;
  }

  /** Mean in ms, or a default estimate before the first run time. */
  get estimateMs(): number {
    return this.mean ?? INITIAL_ESTIMATE_MS;
  }

  /** Adds the run time of a request. */
  add(runTimeMs: number): void {
    const mean = this.mean ?? runTimeMs;
    this.mean = mean + SMOOTHING_FACTOR * (runTimeMs - mean);
  }
}
