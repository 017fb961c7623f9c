import {WriteRateLimiter} from '../jobs/write_rate_limiter.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {isFinalPhase} from '../work/job_definition.js';
import {GatewayResult, toFailureResult} from './gateway_result.js';
import {JobLookUp, JobLookUpOptions} from './job_look_up.js';
import {OwnerMessage} from './owner_messages.js';

/** Options of {@link JobCanceller}. */
export interface JobCancellerOptions extends JobLookUpOptions {
  lookUp: JobLookUp;
}

/** Timeout in ms of a cancellation that the owner relays. */
const RELAY_TIMEOUT_MS = 1500;

/**
 * Cancellations a second that a node stores for IDs without a job. Each makes
 * submissions that share its list repeat their write.
 */
const UNKNOWN_JOBS_PER_SECOND = 1;

/** Retry-after time in ms once these are used up. */
const UNKNOWN_JOB_RETRY_MS = 1000 / UNKNOWN_JOBS_PER_SECOND;

/** Attempts to change a list of IDs that other nodes change as well. */
const MAX_ATTEMPTS = 5;

/**
 * Cancels jobs. The cancellation of an ID without a job is stored as well,
 * since a submission of that ID may be under way; see {@link CancelledJobs}.
 */
export class JobCanceller {
  private readonly unknownJobs = new WriteRateLimiter({
    writesPerSecond: UNKNOWN_JOBS_PER_SECOND,
  });

  constructor(private readonly options: JobCancellerOptions) {}

  /**
   * Cancels a job; resolves once the cancellation is stored. Nothing is stored
   * for a job that has ended, since its records may just be removed. NOT_FOUND if there
   * is no such job; none that was submitted before is stored any more then.
   */
  async cancel(jobId: string): Promise<GatewayResult> {
    const {lookUp, log} = this.options;
    try {
      const {code, phase, retryAfterMs} = await lookUp.getPhase(jobId);
      if (phase && isFinalPhase(phase)) {
        log.logDecision('cancel', {job: jobId, phase, hasEnded: true});
        return {code: ResultCodes.CANCELLED};
      }
      if (code === ResultCodes.OK) return await this.cancelKnown(jobId);
      if (code === ResultCodes.NOT_FOUND) {
        return await this.cancelUnknown(jobId);
      }
      return {code, retryAfterMs};
    } catch (error) {
      return toFailureResult(log, error, {decision: 'cancel-failed', jobId});
    }
  }

  private async cancelKnown(jobId: string): Promise<GatewayResult> {
    const {table, log, owner} = this.options;
    const relayed = await this.relay(jobId);
    if (relayed?.code !== ResultCodes.CANCELLED) {
      await this.storeCancellation(jobId);
    }
    table.addCancellation(jobId);
    owner.send(OwnerMessage.CANCELLED, {jobId});
    log.logDecision('cancel', {job: jobId, phase: table.phaseOf(jobId)});
    return {code: ResultCodes.CANCELLED};
  }

  private async cancelUnknown(jobId: string): Promise<GatewayResult> {
    const {clock} = this.options;
    const relayed = await this.relay(jobId);
    if (relayed && isConclusive(relayed)) return relayed;
    if (!this.unknownJobs.tryAcquire(clock.nowMs())) {
      return this.refuse(jobId, UNKNOWN_JOB_RETRY_MS);
    }
    return this.storeCancelledId(jobId);
  }

  /** Cancels through the owner while this node cannot reach the store. */
  private async relay(jobId: string): Promise<GatewayResult | undefined> {
    const {owner, isStoreReachable} = this.options;
    if (isStoreReachable() || !owner.isOpen) return undefined;
    return owner.request(OwnerMessage.CANCEL, {jobId}, RELAY_TIMEOUT_MS);
  }

  private async storeCancellation(jobId: string): Promise<void> {
    const {store, keys} = this.options;
    const key = keys.cancellation(jobId);
    await store.commit({
      expect: [{key, revision: 0}],
      write: [{key, value: Buffer.from('1')}],
    });
  }

  /** Adds an ID to its list of cancelled IDs. */
  private async storeCancelledId(jobId: string): Promise<GatewayResult> {
    const {store, cancelledJobs, log} = this.options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const addition = cancelledJobs.createAddition(jobId);
      if (addition.kind === 'full') {
        return this.refuse(jobId, addition.retryAfterMs);
      }
      const {transaction} = addition;
      const result = await store.commit(transaction);
      if (result.kind === 'committed') {
        const {revision} = result;
        for (const written of transaction.write) {
          cancelledJobs.apply({...written, revision});
        }
        log.logDecision('cancel-unknown', {job: jobId, revision});
        return {code: ResultCodes.NOT_FOUND};
      }
      const items = result.kind === 'conflict' ? result.items : [];
      for (const item of items) cancelledJobs.apply(item);
    }
    throw new ResultError(
      ResultCodes.PLATFORM_UNAVAILABLE,
      `Cannot cancel job "${jobId}": other nodes change the list of its ID`,
    );
  }

  private refuse(jobId: string, retryAfterMs: number): GatewayResult {
    const code = ResultCodes.TOO_MANY_REQUESTS;
    const facts = {job: jobId, code: code.number, retryAfterMs};
    this.options.log.logDecision('cancel-refused', facts);
    return {code, retryAfterMs};
  }
}

/** Whether the owner's answer about an unknown job needs no further attempt. */
function isConclusive({code}: GatewayResult): boolean {
  return (
    code === ResultCodes.NOT_FOUND ||
    code === ResultCodes.CANCELLED ||
    code === ResultCodes.TOO_MANY_REQUESTS
  );
}
