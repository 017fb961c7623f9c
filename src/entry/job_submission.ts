import {createHash} from 'node:crypto';

import {ClaimRecord} from '../claims/claim_record.js';
import {ClaimStore} from '../claims/claim_store.js';
import {Clock} from '../clock/clock.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {createJobId, JobClient, submissionCode} from './job_client.js';

/** Options of {@link JobSubmission}. */
export interface JobSubmissionOptions {
  client: JobClient;
  claims: ClaimStore;
  clock: Clock;
  /** Data centre of this entry. */
  dataCentre: string;
}

/** A job that a caller submits. */
export interface SubmittedJob {
  customer: string;
  caller: string;
  /** Fields of the job as sent by the caller. */
  fields: Record<string, unknown>;
  /** Idempotency key. @default none */
  key?: string;
  /** Monotonic time in ms of the deadline. */
  deadlineMs: number;
}

// Schedulers keep ended jobs for 10 minutes. Up to this age of its claim, a job
// that is unknown to all of them was certainly not accepted.
const MAX_RESUBMIT_AGE_MS = 300_000;

// Maximum delay in ms of the result while the claim of a refused job is
// released.
const MAX_RELEASE_WAIT_MS = 300;

/** Submits jobs, at most one per idempotency key. */
export class JobSubmission {
  constructor(private readonly options: JobSubmissionOptions) {}

  /**
   * Submits a job, or returns the status of the job submitted earlier under its
   * key.
   *
   * @returns The reply of the scheduler about the job.
   * @throws ResultError with the outcome.
   */
  async submit(job: SubmittedJob): Promise<unknown> {
    const jobId = createJobId(job.customer, this.options.dataCentre);
    if (job.key === undefined) return this.send(job, jobId);
    const fingerprint = fingerprintOf(job.fields);
    const result = await this.options.claims.claim({
      customer: job.customer,
      caller: job.caller,
      key: `job:${job.key}`,
      fingerprint,
      jobId,
      deadlineMs: job.deadlineMs,
    });
    if (result.kind === 'taken') {
      return this.handleDuplicate(job, result.record, fingerprint);
    }
    try {
      return await this.send(job, jobId);
    } catch (error) {
      const didNotRun =
        error instanceof ResultError &&
        error.code.outcome === Outcome.DID_NOT_RUN;
      if (didNotRun) {
        await this.options.claims.release(result.claim, MAX_RELEASE_WAIT_MS);
      }
      throw error;
    }
  }

  /** Handles a submission whose key is already claimed for a job. */
  private async handleDuplicate(
    job: SubmittedJob,
    record: ClaimRecord,
    fingerprint: string,
  ): Promise<unknown> {
    const {jobId} = record;
    if (record.fingerprint !== fingerprint || jobId === undefined) {
      throw new ResultError(
        ResultCodes.BAD_REQUEST,
        'Cannot submit: the idempotency key was used for a different job',
      );
    }
    try {
      const remainingMs = this.remainingMs(job);
      return await this.options.client.request('jobStatus', {
        jobId,
        remainingMs,
      });
    } catch (error) {
      const isUnknown =
        error instanceof ResultError &&
        error.code.number === ResultCodes.NOT_FOUND.number;
      if (!isUnknown) throw acceptanceUnknown(error as Error);
    }
    const ageMs = this.options.clock.wallMs() - record.claimedWallMs;
    if (Math.abs(ageMs) > MAX_RESUBMIT_AGE_MS || isAttached(job)) {
      throw new ResultError(
        ResultCodes.KEY_IN_USE,
        `Cannot submit: the idempotency key belongs to job "${jobId}", which is no longer known`,
      );
    }
    // If this submission is refused, the earlier one may still have been
    // accepted.
    return this.send(job, jobId).catch((error: unknown) => {
      throw acceptanceUnknown(error as Error);
    });
  }

  private async send(job: SubmittedJob, id: string): Promise<unknown> {
    const {customer, caller, fields} = job;
    try {
      return await this.options.client.request('submit', {
        job: {...fields, id, customer, caller},
        remainingMs: this.remainingMs(job),
      });
    } catch (error) {
      if (!(error instanceof ResultError)) throw error;
      const code = submissionCode(error.code, isAttached(job));
      const {retryAfterMs} = error;
      throw new ResultError(code, error.message, {retryAfterMs, cause: error});
    }
  }

  private remainingMs(job: SubmittedJob): number {
    return Math.max(1, job.deadlineMs - this.options.clock.nowMs());
  }
}

function isAttached(job: SubmittedJob): boolean {
  return job.fields['isAttached'] === true;
}

/**
 * Creates the error for a failed repetition: whatever its cause, the earlier
 * submission may have been accepted.
 */
function acceptanceUnknown(cause: Error): ResultError {
  return new ResultError(
    ResultCodes.MAY_HAVE_BEEN_ACCEPTED,
    `Cannot tell whether the job was accepted: ${cause.message}`,
    {cause},
  );
}

function fingerprintOf(fields: Record<string, unknown>): string {
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}
