/** Weight of the newest run time. */
const WEIGHT = 0.05;

/** Assumed run time in ms before the first request has ended. */
const FIRST_MS = 10;

/** Moving mean of run times. */
export class RunTimeMean {
  private mean: number | undefined;

  /** Mean in ms, or undefined before the first run time. */
  get meanMs(): number | undefined {
    return this.mean;
  }

  /** Mean in ms, or an assumption before the first run time. */
  get typicalMs(): number {
    return this.mean ?? FIRST_MS;
  }

  /** Adds the run time of a request. */
  add(runTimeMs: number): void {
    const mean = this.mean ?? runTimeMs;
    this.mean = mean + WEIGHT * (runTimeMs - mean);
  }
}
