import {Clock} from '../clock/clock.js';
import {SUBMISSION_LIFETIME_MS} from '../work/submission_lifetime.js';

/** Options of {@link SubmissionsInDoubt}. */
export interface SubmissionsInDoubtOptions {
  clock: Clock;
}

/** Maximum number of IDs; beyond it the oldest is forgotten. */
const MAX_IDS = 10_000;

/**
 * IDs of jobs of which this node has sent a write without an answer. The write
 * may still be carried out, so that a later submission of the ID cannot be
 * refused as not accepted.
 */
export class SubmissionsInDoubt {
  /** Time in ms of the latest doubt by ID, the oldest first. */
  private readonly sinceMs = new Map<string, number>();

  constructor(private readonly options: SubmissionsInDoubtOptions) {}

  /** Records a submission whose outcome is unknown. */
  add(jobId: string): void {
    this.sinceMs.delete(jobId);
    this.sinceMs.set(jobId, this.options.clock.nowMs());
    this.forgetOldest();
  }

  /** Forgets an ID whose outcome is known. */
  remove(jobId: string): void {
    this.sinceMs.delete(jobId);
  }

  /** Whether a write of the job may still be carried out. */
  has(jobId: string): boolean {
    this.forgetOldest();
    return this.sinceMs.has(jobId);
  }

  private forgetOldest(): void {
    const nowMs = this.options.clock.nowMs();
    for (const [jobId, sinceMs] of this.sinceMs) {
      const isOver = nowMs - sinceMs >= SUBMISSION_LIFETIME_MS;
      if (!isOver && this.sinceMs.size <= MAX_IDS) return;
      this.sinceMs.delete(jobId);
    }
  }
}
