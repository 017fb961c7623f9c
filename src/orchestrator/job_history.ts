/** Counts of a job in a log line. */
export interface JobHistorySummary {
  runs: number;
  failedRuns: number;
  lostRuns: number;
  stoppedRuns: number;
  firstStartMs: number | undefined;
}

/** What happened to the runs of a job in the term of this owner, for logs. */
export class JobHistory {
  /** Number of runs that ended as failed. */
  failedRuns = 0;
  /** Number of runs that ended with their worker or its lease. */
  lostRuns = 0;
  /** Number of runs that this owner stopped before the job ended. */
  stoppedRuns = 0;
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

  /** Returns the counts for a log line. */
  summary(): JobHistorySummary {
    const {startedRuns: runs, failedRuns, lostRuns, stoppedRuns} = this;
    const {firstStartMs} = this;
    return {runs, failedRuns, lostRuns, stoppedRuns, firstStartMs};
  }
}
