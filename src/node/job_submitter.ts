import {sleep} from '../clock/sleep.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {JobDefinition} from '../work/job_definition.js';
import {
  decodeSubmission,
  encodeSubmission,
  SubmissionRecord,
} from '../work/job_records.js';
import {countTasks, definitionBytes, JobSizeLimits} from '../work/job_size.js';
import {MAX_SUBMISSION_MS} from '../work/submission_lifetime.js';
import {
  GatewayResult,
  storeUnavailable,
  toFailureResult,
} from './gateway_result.js';
import {JobLookUpOptions} from './job_look_up.js';
import {OwnerMessage} from './owner_messages.js';
import {SubmissionsInDoubt} from './submissions_in_doubt.js';

/** Options of {@link JobSubmitter}. */
export interface JobSubmitterOptions extends JobLookUpOptions {
  /** Limits on the size of jobs. @default none */
  limits?: JobSizeLimits;
  /** Returns the version of the current configuration, for the log. */
  configurationVersion: () => number | undefined;
}

/** Retry-after time in ms while the known jobs take too much memory. */
const TOO_MANY_JOBS_RETRY_MS = 2000;

/** Deadline in ms of clients that do not send one. */
const DEFAULT_DEADLINE_MS = 3000;

/** Delay in ms before a submission whose outcome is in doubt is repeated. */
const REPEAT_DELAY_MS = 50;

/** Attempts to store a submission while the list of its ID changes. */
const MAX_STORE_ATTEMPTS = 5;

/** Time in ms before a client's deadline, reserved to send the response. */
const RESPONSE_MARGIN_MS = 300;

/**
 * Stores the jobs that clients submit. Uses the store directly, or the owner as
 * a relay while this node cannot reach the store.
 */
export class JobSubmitter {
  private readonly inDoubt: SubmissionsInDoubt;

  constructor(private readonly options: JobSubmitterOptions) {
    this.inDoubt = new SubmissionsInDoubt(options);
  }

  /**
   * Stores a job; returns ACCEPTED only once it is stored. A submission whose
   * outcome is in doubt is repeated until shortly before the client's deadline,
   * which is safe because a job is stored only once per id, and not after it
   * was cancelled.
   *
   * @param remainingMs - Time in ms until the deadline of the client.
   */
  async submit(
    definition: JobDefinition,
    remainingMs = DEFAULT_DEADLINE_MS,
  ): Promise<GatewayResult> {
    const {table, clock} = this.options;
    const {id} = definition;
    if (table.entries.get(id)?.submission) return this.logAccepted(id, 'known');
    const refusal = this.checkSize(definition);
    if (refusal) return this.refuseUnlessInDoubt(id, refusal);
    const submission = {definition, acceptedWallMs: clock.wallMs()};
    const submissionMs = Math.min(remainingMs, MAX_SUBMISSION_MS);
    const deadlineMs = clock.nowMs() + submissionMs - RESPONSE_MARGIN_MS;
    for (;;) {
      const result = await this.attempt(submission, deadlineMs);
      if (isSettled(result)) return result;
      const isFinal = result.code === ResultCodes.PLATFORM_UNAVAILABLE;
      if (isFinal || clock.nowMs() + REPEAT_DELAY_MS >= deadlineMs) {
        return this.refuseUnlessInDoubt(id, result);
      }
      await sleep(REPEAT_DELAY_MS);
    }
  }

  /** Makes one attempt, and keeps in mind whether its outcome is in doubt. */
  private async attempt(
    submission: SubmissionRecord,
    deadlineMs: number,
  ): Promise<GatewayResult> {
    const {id} = submission.definition;
    const wasInDoubt = this.inDoubt.has(id);
    if (!wasInDoubt) this.inDoubt.add(id);
    const result = await this.tryStoreSubmission(submission, deadlineMs);
    const isInDoubt = result.code === ResultCodes.MAY_HAVE_BEEN_ACCEPTED;
    if (isInDoubt) this.inDoubt.add(id);
    else if (isSettled(result) || !wasInDoubt) this.inDoubt.remove(id);
    return result;
  }

  /** Returns a refusal, which holds only if no write is under way. */
  private refuseUnlessInDoubt(
    jobId: string,
    refusal: GatewayResult,
  ): GatewayResult {
    if (!this.inDoubt.has(jobId)) return refusal;
    this.options.log.logDecision('submission-in-doubt', {
      job: jobId,
      refusal: refusal.code.number,
    });
    return inDoubt();
  }

  /** Returns why a job is not stored because of its size; not if it may be. */
  private checkSize(definition: JobDefinition): GatewayResult | undefined {
    const {limits, log, table} = this.options;
    if (!limits) return undefined;
    const steps = definition.steps.length;
    const tasks = countTasks(definition);
    const knownBytes = table.definitionBytes;
    const isTooLarge = steps > limits.mostSteps || tasks > limits.mostTasks;
    const areTooMany =
      knownBytes + definitionBytes(definition) > limits.mostJobBytes;
    if (!isTooLarge && !areTooMany) return undefined;
    const result = isTooLarge
      ? {code: ResultCodes.BAD_REQUEST}
      : {code: ResultCodes.QUEUE_FULL, retryAfterMs: TOO_MANY_JOBS_RETRY_MS};
    log.logDecision('refuse', {
      job: definition.id,
      code: result.code.number,
      steps,
      tasks,
      knownBytes,
    });
    return result;
  }

  /**
   * Stores a submission, through the owner if the store is unreachable from
   * this node or the direct attempt fails.
   */
  private async tryStoreSubmission(
    submission: SubmissionRecord,
    deadlineMs: number,
  ): Promise<GatewayResult> {
    const {owner, clock, isStoreReachable} = this.options;
    const result = isStoreReachable()
      ? await this.storeSubmission(submission)
      : storeUnavailable();
    if (isSettled(result) || !owner.isOpen) return result;
    if (clock.nowMs() >= deadlineMs) return result;
    return this.relaySubmission(submission, deadlineMs, result);
  }

  private async storeSubmission(
    submission: SubmissionRecord,
  ): Promise<GatewayResult> {
    const {id} = submission.definition;
    try {
      for (let attempt = 0; attempt < MAX_STORE_ATTEMPTS; attempt += 1) {
        const result = await this.commitSubmission(submission);
        if (result) return result;
      }
      return storeUnavailable();
    } catch (error) {
      return toFailureResult(this.options.log, error, {
        decision: 'refuse',
        jobId: id,
      });
    }
  }

  /**
   * Stores a submission unless its ID is cancelled.
   *
   * @returns Undefined if the list of cancelled IDs has changed meanwhile.
   */
  private async commitSubmission(
    submission: SubmissionRecord,
  ): Promise<GatewayResult | undefined> {
    const {store, keys, cancelledJobs} = this.options;
    const {id} = submission.definition;
    if (cancelledJobs.has(id)) return this.refuseCancelled(id);
    const key = keys.submission(id);
    const result = await store.commit({
      expect: [{key, revision: 0}, cancelledJobs.expectationOf(id)],
      write: [{key, value: encodeSubmission(submission)}],
    });
    if (result.kind === 'committed') {
      return this.recordAccepted(submission, 'stored');
    }
    const items = result.kind === 'conflict' ? result.items : [];
    const earlier = items.find((item) => item.key === key);
    if (earlier) {
      const stored = decodeSubmission(earlier.value);
      return this.recordAccepted(stored, 'stored-earlier');
    }
    for (const item of items) cancelledJobs.apply(item);
    // Without an item that explains the conflict, the job may be stored.
    return items.length > 0 ? undefined : inDoubt();
  }

  private async relaySubmission(
    submission: SubmissionRecord,
    deadlineMs: number,
    storeResult: GatewayResult,
  ): Promise<GatewayResult> {
    const {owner, clock, log} = this.options;
    const jobId = submission.definition.id;
    const remainingMs = deadlineMs - clock.nowMs();
    try {
      const body = {
        jobId,
        submission: encodeSubmission(submission),
        remainingMs,
      };
      const result = await owner.request(
        OwnerMessage.SUBMIT,
        body,
        remainingMs,
      );
      if (result.code === ResultCodes.ACCEPTED) {
        return this.recordAccepted(submission, 'relayed');
      }
      const isInDoubt = result.code === ResultCodes.MAY_HAVE_BEEN_ACCEPTED;
      return isInDoubt || isSettled(result) ? result : storeResult;
    } catch (error) {
      log.logDecision('relay-failed', {
        job: jobId,
        reason: (error as Error).message,
      });
      // The owner may have stored the job before the link failed.
      return inDoubt();
    }
  }

  /** Refuses a job that was cancelled before it was stored. */
  private refuseCancelled(jobId: string): GatewayResult {
    const code = ResultCodes.JOB_CANCELLED;
    this.options.log.logDecision('refuse', {job: jobId, code: code.number});
    return {code};
  }

  private recordAccepted(
    submission: SubmissionRecord,
    how: string,
  ): GatewayResult {
    const {table, owner} = this.options;
    const jobId = submission.definition.id;
    table.addSubmission(jobId, submission);
    owner.send(OwnerMessage.SUBMITTED, {
      jobId,
      submission: encodeSubmission(submission),
    });
    return this.logAccepted(jobId, how);
  }

  private logAccepted(jobId: string, how: string): GatewayResult {
    this.options.log.logDecision('accept', {
      job: jobId,
      how,
      version: this.options.configurationVersion(),
    });
    return {code: ResultCodes.ACCEPTED};
  }
}

/** Whether a submission needs no further attempt: stored, or cancelled. */
function isSettled({code}: GatewayResult): boolean {
  return code === ResultCodes.ACCEPTED || code === ResultCodes.JOB_CANCELLED;
}

/** Returns the result of a submission that may be stored, or be stored later. */
function inDoubt(): GatewayResult {
  return {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED};
}
