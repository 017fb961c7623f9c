/** Options of {@link JobFailures}. */
export interface JobFailuresOptions {
  /** Maximum number of jobs; the oldest is evicted. @default 8192 */
  maxJobs?: number;
}

/** Workers on which each job failed, with the evidence against each worker. */
export class JobFailures {
  private readonly jobs = new Map<string, Map<string, number>>();
  private readonly maxJobs: number;

  constructor(options: JobFailuresOptions = {}) {
    this.maxJobs = options.maxJobs ?? 8192;
  }

  /** Records a failure and its evidence against the worker. */
  add(job: string, failure: {worker: string; evidence: number}): void {
    let workers = this.jobs.get(job);
    if (!workers) {
      if (this.jobs.size >= this.maxJobs) {
        this.jobs.delete(this.jobs.keys().next().value!);
      }
      this.jobs.set(job, (workers = new Map<string, number>()));
    }
    workers.set(failure.worker, failure.evidence);
  }

  /** Returns the evidence for each worker on which the job failed. */
  evidenceByWorker(job: string): ReadonlyMap<string, number> {
    return this.jobs.get(job) ?? new Map<string, number>();
  }

  /** Removes a job that has ended. */
  delete(job: string): void {
    this.jobs.delete(job);
  }
}
