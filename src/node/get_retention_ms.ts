import {SUBMISSION_LIFETIME_MS} from '../work/submission_lifetime.js';

const MS_PER_SECOND = 1000;

/**
 * Returns the retention time in ms of finished jobs. A submission that is still
 * under way must find the record of its job, or the job would run again.
 *
 * @param keepFinishedSeconds - Configured retention time in seconds.
 */
export function getRetentionMs(keepFinishedSeconds: number): number {
  const keptMs = keepFinishedSeconds * MS_PER_SECOND;
  return Math.max(keptMs, SUBMISSION_LIFETIME_MS);
}
