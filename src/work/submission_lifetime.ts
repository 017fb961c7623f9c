/** Maximum time in ms for which a node repeats a submission. */
export const MAX_SUBMISSION_MS = 60_000;

/** Maximum delay in ms with which the store carries out an unanswered write. */
const MAX_WRITE_DELAY_MS = 60_000;

/**
 * Time in ms after a node has received a submission in which the job may still
 * be stored. What prevents or replaces a job has to be kept for that long.
 */
export const SUBMISSION_LIFETIME_MS = MAX_SUBMISSION_MS + MAX_WRITE_DELAY_MS;
