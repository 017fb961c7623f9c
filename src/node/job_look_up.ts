import {Clock} from '../clock/clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {MetadataStore} from '../store/metadata_store.js';
import {CancelledJobs} from '../work/cancelled_jobs.js';
import {decodeProgress, decodeSubmission} from '../work/job_records.js';
import {JobTable} from '../work/job_table.js';
import {GatewayResult, toFailureResult} from './gateway_result.js';
import {OwnedJobs, OwnerClient} from './owner_client.js';
import {OwnerMessage} from './owner_messages.js';

/** Options of {@link JobLookUp}. */
export interface JobLookUpOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  keys: PartitionKeys;
  table: JobTable;
  cancelledJobs: CancelledJobs;
  /** Whether the store has responded to this node recently. */
  isStoreReachable: () => boolean;
  /** Sends requests to the owner of the partition. */
  owner: OwnerClient;
  /** Returns the local state of jobs if this node owns the partition. */
  ownedJobs: () => OwnedJobs | undefined;
}

/** Retry-after time in ms while no owner answers; a takeover takes that long. */
const OWNER_RETRY_AFTER_MS = 1000;

/** Age in ms up to which a count of waiting jobs is repeated. */
const COUNT_AGE_LIMIT_MS = 2000;

/**
 * Timeout in ms of a question to the owner; leaves time to read the store
 * before the deadline of the client.
 */
const LOOK_UP_TIMEOUT_MS = 700;

/** Timeout in ms of a request for an explanation, which has no deadline. */
const EXPLAIN_TIMEOUT_MS = 3000;

/**
 * Answers questions about jobs: from the local state on the owner, elsewhere by
 * the owner or, if it does not answer, from the store.
 */
export class JobLookUp {
  /** Latest count of waiting jobs that the owner gave, by queue. */
  private readonly latestCounts = new Map<
    string,
    {pending: number; nowMs: number}
  >();

  constructor(private readonly options: JobLookUpOptions) {}

  /**
   * Returns the phase of a job. Only a final phase is answered from the local
   * table, since the owner does not announce phases to other nodes.
   */
  async getPhase(jobId: string): Promise<GatewayResult> {
    const {table, ownedJobs, log} = this.options;
    const known = table.phaseOf(jobId);
    const isCurrent = table.hasEnded(jobId) || ownedJobs() !== undefined;
    if (known !== undefined && isCurrent) {
      return {code: ResultCodes.OK, phase: known};
    }
    const result = await this.lookUpJob(jobId);
    if (known === undefined || isConclusive(result)) return result;
    log.logDecision('state-stale', {
      job: jobId,
      phase: known,
      code: result.code.number,
    });
    return {code: ResultCodes.OK, phase: known};
  }

  /**
   * Returns the number of jobs in a queue of which no task has started. Only
   * the owner knows it; its latest answer is repeated for a short time, and
   * then the count is unavailable.
   */
  async getPendingCount(queue: string): Promise<GatewayResult> {
    const {clock, ownedJobs} = this.options;
    const owned = ownedJobs();
    if (owned) return pendingResult(owned.countPending(queue));
    const pending = await this.askOwnerForPending(queue);
    const nowMs = clock.nowMs();
    if (pending !== undefined) {
      this.latestCounts.set(queue, {pending, nowMs});
      return pendingResult(pending);
    }
    const latest = this.latestCounts.get(queue);
    if (latest && nowMs - latest.nowMs <= COUNT_AGE_LIMIT_MS) {
      return pendingResult(latest.pending);
    }
    const retryAfterMs = OWNER_RETRY_AFTER_MS;
    return {code: ResultCodes.NO_OWNER, retryAfterMs};
  }

  /**
   * Explains why a job runs or waits. Only the owner knows it: NOT_FOUND if it
   * does not schedule the job, NO_OWNER if it does not answer; with the phase
   * that this node knows.
   */
  async explain(jobId: string): Promise<GatewayResult> {
    const {owner, ownedJobs, table} = this.options;
    const phase = table.phaseOf(jobId);
    const owned = ownedJobs();
    if (owned) {
      const explanation = owned.explain(jobId);
      const code = explanation ? ResultCodes.OK : ResultCodes.NOT_FOUND;
      return {code, phase, explanation};
    }
    if (!owner.isOpen) return {code: ResultCodes.NO_OWNER, phase};
    try {
      const body = {jobId};
      const timeoutMs = EXPLAIN_TIMEOUT_MS;
      return await owner.request(OwnerMessage.EXPLAIN, body, timeoutMs);
    } catch (error) {
      const {message} = error as Error;
      this.options.log.logDecision('explanation-unanswered', {
        job: jobId,
        reason: message,
      });
      return {code: ResultCodes.NO_OWNER, phase};
    }
  }

  private async askOwnerForPending(queue: string): Promise<number | undefined> {
    const {owner, log} = this.options;
    const timeoutMs = LOOK_UP_TIMEOUT_MS;
    try {
      const body = {queue};
      const result = await owner.request(OwnerMessage.PENDING, body, timeoutMs);
      return result.pending;
    } catch (error) {
      const reason = (error as Error).message;
      log.logDecision('pending-unanswered', {queue, reason});
      return undefined;
    }
  }

  /** Looks up a job at the owner or, if it does not answer, in the store. */
  private async lookUpJob(jobId: string): Promise<GatewayResult> {
    const {owner, ownedJobs, isStoreReachable} = this.options;
    if (owner.isOpen && ownedJobs() === undefined) {
      const result = await this.askOwner(jobId);
      if (isConclusive(result) || !isStoreReachable()) return result;
    }
    return this.readJob(jobId);
  }

  private async askOwner(jobId: string): Promise<GatewayResult> {
    const {owner, table} = this.options;
    const timeoutMs = LOOK_UP_TIMEOUT_MS;
    try {
      const body = {jobId};
      const result = await owner.request(OwnerMessage.PHASE, body, timeoutMs);
      if (result.phase !== undefined) table.recordPhase(jobId, result.phase);
      return result;
    } catch (error) {
      return toFailureResult(this.options.log, error, {
        decision: 'owner-unanswered',
        jobId,
      });
    }
  }

  private async readJob(jobId: string): Promise<GatewayResult> {
    try {
      const result = await this.readJobRecords(jobId);
      this.options.log.logDecision('look-up', {
        job: jobId,
        code: result.code.number,
        phase: result.phase,
      });
      return result;
    } catch (error) {
      return toFailureResult(this.options.log, error, {
        decision: 'state-unknown',
        jobId,
      });
    }
  }

  private async readJobRecords(jobId: string): Promise<GatewayResult> {
    const {store, keys, table} = this.options;
    if (!table.entries.get(jobId)?.submission) {
      const item = await store.read(keys.submission(jobId));
      if (!item) return {code: ResultCodes.NOT_FOUND};
      table.addSubmission(jobId, decodeSubmission(item.value));
    }
    const progress = await store.read(keys.progress(jobId));
    if (progress) {
      table.recordPhase(jobId, decodeProgress(progress.value).phase);
    }
    return {code: ResultCodes.OK, phase: table.phaseOf(jobId)};
  }
}

/** Whether a look-up has found the job or that there is none. */
function isConclusive({code}: GatewayResult): boolean {
  return code === ResultCodes.OK || code === ResultCodes.NOT_FOUND;
}

function pendingResult(pending: number): GatewayResult {
  return {code: ResultCodes.OK, pending};
}
