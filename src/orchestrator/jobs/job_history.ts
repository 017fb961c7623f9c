/** Counts of a job in a log line. */
export interface JobHistorySummary {
  runs: number;
  failedRuns: number;
  lostRuns: number;
  stoppedRuns: number;
  firstStartMs: number | undefined;
  /** Workers of the failed runs; left out if none has failed. */
  failedOn?: readonly string[];
}

/** Maximum number of workers of failed runs that are kept. */
const KEPT_WORKERS = 8;

/** What happened to the runs of a job in the term of this owner, for logs. */
export class JobHistory {
  /** Number of runs that ended with their worker or its lease. */
  lostRuns = 0;
  /** Number of runs that this owner stopped before the job ended. */
  stoppedRuns = 0;
  private failedRuns = 0;
  private readonly failedOn: string[] = [];
  private startedRuns = 0;
  private firstStartMs: number | undefined;

  /**
   * Records that a run was started.
   *
   * @param ageMs - Time in ms since this owner knows the job.
   */
  recordStart(ageMs: number): void {
    this.startedRuns += 1;
    this.firstStartMs ??= Math.round(ageMs);
  }

  /** Records that a run ended as failed on a worker. */
  recordFailure(workerId: string | undefined): void {
    this.failedRuns += 1;
    if (workerId === undefined || this.failedOn.length === KEPT_WORKERS) return;
    this.failedOn.push(workerId);
  }

  /** Returns the counts for a log line. */
  summary(): JobHistorySummary {
    const {startedRuns: runs, failedRuns, lostRuns, stoppedRuns} = this;
    const {firstStartMs} = this;
    const failedOn = failedRuns > 0 ? [...this.failedOn] : undefined;
    return {runs, failedRuns, lostRuns, stoppedRuns, firstStartMs, failedOn};
  }
}
