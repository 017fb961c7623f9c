import {JobState} from './job_state.js';

/**
 * Jobs of a partition in the order in which they were added. Finished jobs stay
 * known for minutes, so that periodic work would mostly look at jobs that
 * cannot change any more; it uses {@link open} instead.
 */
export class JobIndex {
  private readonly jobs = new Map<string, JobState>();
  private readonly openJobs = new Set<JobState>();
  /** In the order in which they finished. */
  private readonly finishedJobs = new Set<JobState>();

  /** All jobs by id. */
  get byId(): ReadonlyMap<string, JobState> {
    return this.jobs;
  }

  /** Jobs whose phase is not final. */
  get open(): ReadonlySet<JobState> {
    return this.openJobs;
  }

  /** Adds a job, whose phase may be final. */
  add(job: JobState): void {
    this.jobs.set(job.definition.id, job);
    (job.isFinal ? this.finishedJobs : this.openJobs).add(job);
  }

  /** Records that the phase of a job has become final. */
  finish(job: JobState): void {
    if (this.openJobs.delete(job)) this.finishedJobs.add(job);
  }

  /** Removes a job. */
  remove(job: JobState): void {
    this.jobs.delete(job.definition.id);
    this.openJobs.delete(job);
    this.finishedJobs.delete(job);
  }

  /** Iterates over the jobs that finished at or before a time in ms. */
  *finishedUntil(timeMs: number): Generator<JobState> {
    for (const job of this.finishedJobs) {
      if (job.finalSinceMs > timeMs) return;
      yield job;
    }
  }
}
