import {Clock} from '../clock/clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {MetadataStore} from '../store/metadata_store.js';
import {Configuration, findQueue, Queue} from '../work/configuration.js';
import {JobDefinition, JobPhase} from '../work/job_definition.js';
import {
  decodeProgress,
  decodeSubmission,
  encodeSubmission,
  SubmissionRecord,
} from '../work/job_records.js';
import {JobTable} from '../work/job_table.js';
import {
  JobMessage,
  OwnerMessage,
  QueueMessage,
  RelayedSubmission,
  SubmittedMessage,
} from './owner_messages.js';

/** Options of {@link JobGateway}. */
export interface JobGatewayOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  keys: PartitionKeys;
  table: JobTable;
  /** Whether the store has responded to this node recently. */
  isStoreReachable: () => boolean;
  /** Sends requests to the owner of the partition. */
  owner: OwnerClient;
  /** Returns the local state of jobs if this node owns the partition. */
  ownedJobs: () => OwnedJobs | undefined;
}

/** Jobs of the partition as its owner knows them. */
export interface OwnedJobs {
  /** Returns the number of jobs in a queue of which no task has started. */
  countPending(queue: string): number;
}

/** Connection to the owner of the partition, as a gateway uses it. */
export interface OwnerClient {
  /** Whether the owner is connected. */
  readonly isOpen: boolean;
  /** Notifies the owner of a submission or cancellation that was stored. */
  send(name: string, body: JobMessage | SubmittedMessage): void;
  /** Sends a request to the owner; rejects if it does not respond in time. */
  request(
    name: string,
    body: JobMessage | QueueMessage | RelayedSubmission,
    timeoutMs: number,
  ): Promise<GatewayResult>;
}

/** Result of a request to the gateway. */
export interface GatewayResult {
  code: ResultCode;
  /** Time in ms after which the client should retry. @default none */
  retryAfterMs?: number;
  /** Phase of the requested job. @default none */
  phase?: JobPhase;
  /** Number of jobs in a queue of which no task has started. @default none */
  pending?: number;
}

/** Retry-after time in ms while the store is unreachable. */
const STORE_RETRY_AFTER_MS = 1000;

/** Retry-after time in ms while no owner answers; a takeover takes that long. */
const OWNER_RETRY_AFTER_MS = 1000;

/** Age in ms up to which a count of waiting jobs is repeated. */
const COUNT_AGE_LIMIT_MS = 2000;

/** Deadline in ms of clients that do not send one. */
const DEFAULT_DEADLINE_MS = 3000;

/** Time in ms before a client's deadline, reserved to send the response. */
const RESPONSE_MARGIN_MS = 300;

/** Timeout in ms of a cancellation that the owner relays. */
const RELAY_TIMEOUT_MS = 1500;

/**
 * Timeout in ms of a question to the owner; leaves time to read the store
 * before the deadline of the client.
 */
const LOOK_UP_TIMEOUT_MS = 700;

/**
 * Accepts, queries and cancels jobs for clients. Uses the store directly, or
 * the owner as a relay while this node cannot reach the store.
 */
export class JobGateway {
  private current: Configuration | undefined;
  /** Latest count of waiting jobs that the owner gave, by queue. */
  private readonly latestCounts = new Map<
    string,
    {pending: number; nowMs: number}
  >();

  constructor(private readonly options: JobGatewayOptions) {}

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
    const submission = {definition, acceptedWallMs: clock.wallMs()};
    const deadlineMs = clock.nowMs() + remainingMs - RESPONSE_MARGIN_MS;
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
      return this.failureResult('refuse', id, error);
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
      return this.failureResult('cancel-failed', jobId, error);
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

  /**
   * Returns the number of jobs in a queue of which no task has started. Only
   * the owner knows it; its latest answer is repeated for a short time, and
   * then the count is unavailable.
   */
  async getPendingCount(queue: Queue): Promise<GatewayResult> {
    const {clock, ownedJobs} = this.options;
    const owned = ownedJobs();
    if (owned) return pendingResult(owned.countPending(queue.name));
    const pending = await this.askOwnerForPending(queue.name);
    const nowMs = clock.nowMs();
    if (pending !== undefined) {
      this.latestCounts.set(queue.name, {pending, nowMs});
      return pendingResult(pending);
    }
    const latest = this.latestCounts.get(queue.name);
    if (latest && nowMs - latest.nowMs <= COUNT_AGE_LIMIT_MS) {
      return pendingResult(latest.pending);
    }
    const retryAfterMs = OWNER_RETRY_AFTER_MS;
    return {code: ResultCodes.NO_OWNER, retryAfterMs};
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
      return this.failureResult('owner-unanswered', jobId, error);
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
      return this.failureResult('state-unknown', jobId, error);
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

  /**
   * Logs an error and converts it to a result: PLATFORM_UNAVAILABLE if the
   * error has that code, else MAY_HAVE_BEEN_ACCEPTED, since a write may have
   * succeeded.
   */
  private failureResult(
    decision: string,
    jobId: string,
    error: unknown,
  ): GatewayResult {
    const code =
      error instanceof ResultError ? error.code : ResultCodes.INTERNAL;
    this.options.log.logDecision(decision, {
      job: jobId,
      code: code.number,
      reason: (error as Error).message,
    });
    if (code === ResultCodes.PLATFORM_UNAVAILABLE) return storeUnavailable();
    return {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED};
  }
}

/** Whether a look-up has found the job or that there is none. */
function isConclusive({code}: GatewayResult): boolean {
  return code === ResultCodes.OK || code === ResultCodes.NOT_FOUND;
}

function pendingResult(pending: number): GatewayResult {
  return {code: ResultCodes.OK, pending};
}

function storeUnavailable(): GatewayResult {
  return {
    code: ResultCodes.PLATFORM_UNAVAILABLE,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  };
}
