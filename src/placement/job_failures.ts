/** Options of {@link JobFailures}. */
export interface JobFailuresOptions {
  /** Jobs that are remembered; the oldest is dropped. @default 8192 */
  maxJobs?: number;
}

/** Workers on which each job failed, with the evidence that it gave there. */
export class JobFailures {
  private readonly jobs = new Map<string, Map<string, number>>();
  private readonly maxJobs: number;

  constructor(options: JobFailuresOptions = {}) {
    this.maxJobs = options.maxJobs ?? 8192;
  }

  /** Remembers a failure and the evidence against the worker. */
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

  /** Evidence by worker on which the job failed. */
  evidenceByWorker(job: string): ReadonlyMap<string, number> {
    return this.jobs.get(job) ?? new Map<string, number>();
  }

  /** Forgets a job that ended. */
  delete(job: string): void {
    this.jobs.delete(job);
  }
}
