import {ResultCodes} from '../result_codes/result_code.js';
import {Configuration, findQueue, Queue} from '../work/configuration.js';
import {JobDefinition} from '../work/job_definition.js';
import {
  decodeSubmission,
  encodeSubmission,
  SubmissionRecord,
} from '../work/job_records.js';
import {countTasks, definitionBytes, JobSizeLimits} from '../work/job_size.js';
import {
  GatewayResult,
  storeUnavailable,
  toFailureResult,
} from './gateway_result.js';
import {JobLookUp, JobLookUpOptions} from './job_look_up.js';
import {OwnerMessage} from './owner_messages.js';

/** Options of {@link JobGateway}. */
export interface JobGatewayOptions extends JobLookUpOptions {
  /** Limits on the size of jobs. @default none */
  limits?: JobSizeLimits;
}

/** Retry-after time in ms while the known jobs take too much memory. */
const TOO_MANY_JOBS_RETRY_MS = 2000;

/** Deadline in ms of clients that do not send one. */
const DEFAULT_DEADLINE_MS = 3000;

/** Maximum time in ms for which a submission is repeated. */
const MAX_SUBMISSION_MS = 60_000;

/** Time in ms before a client's deadline, reserved to send the response. */
const RESPONSE_MARGIN_MS = 300;

/** Timeout in ms of a cancellation that the owner relays. */
const RELAY_TIMEOUT_MS = 1500;

/**
 * Accepts, queries and cancels jobs for clients. Uses the store directly, or
 * the owner as a relay while this node cannot reach the store.
 */
export class JobGateway {
  private current: Configuration | undefined;
  private readonly lookUp: JobLookUp;

  constructor(private readonly options: JobGatewayOptions) {
    this.lookUp = new JobLookUp(options);
  }

  /** Current configuration; undefined until the first is received. */
  get configuration(): Configuration | undefined {
    return this.current;
  }

  /** Applies a configuration unless it is older than the current one. */
  configure(configuration: Configuration): void {
    if (this.current && configuration.version < this.current.version) return;
    this.current = configuration;
  }

  /** Finds the queue that serves a host and path. */
  findQueue(host: string, path: string): Queue | undefined {
    return this.current && findQueue(this.current, host, path);
  }

  /**
   * Stores a job; returns ACCEPTED only once it is stored. A submission whose
   * outcome is in doubt is repeated until shortly before the client's deadline,
   * which is safe because a job is stored only once per id.
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
    if (refusal) return refusal;
    const submission = {definition, acceptedWallMs: clock.wallMs()};
    const submissionMs = Math.min(remainingMs, MAX_SUBMISSION_MS);
    const deadlineMs = clock.nowMs() + submissionMs - RESPONSE_MARGIN_MS;
    let mayBeStored = false;
    for (;;) {
      const result = await this.tryStoreSubmission(submission, deadlineMs);
      if (result.code === ResultCodes.ACCEPTED) return result;
      mayBeStored ||= result.code === ResultCodes.MAY_HAVE_BEEN_ACCEPTED;
      const isFinal = result.code === ResultCodes.PLATFORM_UNAVAILABLE;
      if (isFinal || clock.nowMs() >= deadlineMs) {
        return mayBeStored
          ? {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED}
          : result;
      }
    }
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
    const {owner, isStoreReachable} = this.options;
    const result = isStoreReachable()
      ? await this.storeSubmission(submission)
      : storeUnavailable();
    if (result.code === ResultCodes.ACCEPTED || !owner.isOpen) {
      return result;
    }
    return this.relaySubmission(submission, deadlineMs, result);
  }

  private async storeSubmission(
    submission: SubmissionRecord,
  ): Promise<GatewayResult> {
    const {store, keys} = this.options;
    const {id} = submission.definition;
    const key = keys.submission(id);
    try {
      const result = await store.commit({
        expect: [{key, revision: 0}],
        write: [{key, value: encodeSubmission(submission)}],
      });
      if (result.kind === 'committed') {
        return this.recordAccepted(submission, 'stored');
      }
      const items = result.kind === 'conflict' ? result.items : [];
      const earlier = items.find((item) => item.key === key);
      if (!earlier) return storeUnavailable();
      return this.recordAccepted(
        decodeSubmission(earlier.value),
        'stored-earlier',
      );
    } catch (error) {
      return toFailureResult(this.options.log, error, {
        decision: 'refuse',
        jobId: id,
      });
    }
  }

  private async relaySubmission(
    submission: SubmissionRecord,
    deadlineMs: number,
    storeResult: GatewayResult,
  ): Promise<GatewayResult> {
    const {owner, clock, log} = this.options;
    const jobId = submission.definition.id;
    const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
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
      if (result.code === ResultCodes.MAY_HAVE_BEEN_ACCEPTED) return result;
      if (result.code !== ResultCodes.ACCEPTED) return storeResult;
      return this.recordAccepted(submission, 'relayed');
    } catch (error) {
      log.logDecision('relay-failed', {
        job: jobId,
        reason: (error as Error).message,
      });
      // The owner may have stored the job before the link failed.
      return {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED};
    }
  }

  /** Returns the phase of a job. */
  getPhase(jobId: string): Promise<GatewayResult> {
    return this.lookUp.getPhase(jobId);
  }

  /** Explains why a job runs or waits; see {@link JobLookUp.explain}. */
  explain(jobId: string): Promise<GatewayResult> {
    return this.lookUp.explain(jobId);
  }

  /** Returns the number of jobs in a queue of which no task has started. */
  getPendingCount(queue: Queue): Promise<GatewayResult> {
    return this.lookUp.getPendingCount(queue.name);
  }

  /** Cancels a job; resolves once the cancellation is stored. */
  async cancel(jobId: string): Promise<GatewayResult> {
    const {table, log, owner} = this.options;
    try {
      const {code, retryAfterMs} = await this.getPhase(jobId);
      if (code !== ResultCodes.OK) return {code, retryAfterMs};
      await this.storeCancellation(jobId);
      table.addCancellation(jobId);
      owner.send(OwnerMessage.CANCELLED, {jobId});
      log.logDecision('cancel', {job: jobId, phase: table.phaseOf(jobId)});
      return {code: ResultCodes.CANCELLED};
    } catch (error) {
      return toFailureResult(log, error, {decision: 'cancel-failed', jobId});
    }
  }

  private async storeCancellation(jobId: string): Promise<void> {
    const {store, keys, owner, isStoreReachable} = this.options;
    if (!isStoreReachable() && owner.isOpen) {
      const body = {jobId};
      const result = await owner.request(
        OwnerMessage.CANCEL,
        body,
        RELAY_TIMEOUT_MS,
      );
      if (result.code === ResultCodes.CANCELLED) return;
    }
    const key = keys.cancellation(jobId);
    await store.commit({
      expect: [{key, revision: 0}],
      write: [{key, value: Buffer.from('1')}],
    });
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
      version: this.current?.version,
    });
    return {code: ResultCodes.ACCEPTED};
  }
}
