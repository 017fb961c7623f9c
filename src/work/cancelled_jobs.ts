import {randomUUID} from 'node:crypto';

import {Clock} from '../clock/clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {StoreChange, StoreTransaction} from '../store/metadata_store.js';
import {
  CancelledId,
  decodeCancelledIds,
  encodeCancelledIds,
  MAX_CANCELLED_IDS,
} from './cancelled_jobs_record.js';
import {JobTable} from './job_table.js';
import {SUBMISSION_LIFETIME_MS} from './submission_lifetime.js';

/** Options of {@link CancelledJobs}. */
export interface CancelledJobsOptions {
  clock: Clock;
  log: NodeLog;
  keys: PartitionKeys;
  /** Learns the cancellations. */
  table: JobTable;
}

/** A cancelled ID in a list that this node knows. */
interface KnownId extends CancelledId {
  /** Time in ms at which this node learned of the cancellation. */
  knownSinceMs: number;
}

/** Latest known state of a stored list. */
interface KnownList {
  /** Revision of the latest change. */
  revision: number;
  /** Revision that a transaction has to expect; 0 if the list is absent. */
  expectedRevision: number;
  ids: readonly KnownId[];
}

/** Adds an ID to its list, or says when there is room for it. */
export type CancellationAddition =
  | {kind: 'transaction'; transaction: StoreTransaction}
  | {kind: 'full'; retryAfterMs: number};

const ABSENT_LIST: KnownList = {revision: 0, expectedRevision: 0, ids: []};

/**
 * IDs that were cancelled while no job was stored under them, in a fixed number
 * of stored lists. A submission expects the revision of the list of its ID, so
 * that no write that was sent before the cancellation is carried out after it.
 * Lists are rewritten and never removed, since a submission that expects none
 * could then be stored late.
 */
export class CancelledJobs {
  private readonly lists = new Map<string, KnownList>();

  constructor(private readonly options: CancelledJobsOptions) {}

  /** Whether an ID is known to be cancelled. */
  has(jobId: string): boolean {
    return this.listOf(jobId).ids.some((known) => known.jobId === jobId);
  }

  /** Returns the expectation under which a job with the ID may be stored. */
  expectationOf(jobId: string): {key: string; revision: number} {
    const {expectedRevision} = this.listOf(jobId);
    return {key: this.keyOf(jobId), revision: expectedRevision};
  }

  /**
   * Creates the transaction that cancels an ID. It leaves out the IDs of which
   * no submission can be under way any more.
   */
  createAddition(jobId: string): CancellationAddition {
    const nowMs = this.options.clock.nowMs();
    const kept = this.listOf(jobId).ids.filter(
      (known) =>
        known.jobId !== jobId &&
        nowMs - known.knownSinceMs < SUBMISSION_LIFETIME_MS,
    );
    if (kept.length >= MAX_CANCELLED_IDS) {
      const oldestMs = Math.min(...kept.map((known) => known.knownSinceMs));
      const retryAfterMs = oldestMs + SUBMISSION_LIFETIME_MS - nowMs;
      return {kind: 'full', retryAfterMs};
    }
    const ids = [...kept, {jobId, cancellation: randomUUID()}].map(toStoredId);
    const expectation = this.expectationOf(jobId);
    const write = [{key: expectation.key, value: encodeCancelledIds(ids)}];
    const transaction = {expect: [expectation], write};
    return {kind: 'transaction', transaction};
  }

  /**
   * Applies the state of a list, from the mirror, from a conflict or after a
   * commit of this node; older states are ignored.
   *
   * @returns False if the key is not that of a list.
   */
  apply({key, value, revision}: StoreChange): boolean {
    if (!key.startsWith(this.options.keys.cancelledPrefix)) return false;
    const earlier = this.lists.get(key) ?? ABSENT_LIST;
    if (revision <= earlier.revision) return true;
    const ids = this.decode(key, value).map((id) => this.toKnown(id, earlier));
    const expectedRevision = value ? revision : 0;
    this.lists.set(key, {revision, expectedRevision, ids});
    this.updateTable(earlier.ids, ids);
    return true;
  }

  /** Decodes a list; one that cannot be read counts as empty. */
  private decode(key: string, value: Buffer | undefined): CancelledId[] {
    if (!value) return [];
    try {
      return decodeCancelledIds(value);
    } catch (error) {
      const {log} = this.options;
      log.logError('cancelled-ids-unreadable', error as Error, {key});
      return [];
    }
  }

  private toKnown(id: CancelledId, earlier: KnownList): KnownId {
    const known = earlier.ids.find(
      ({cancellation}) => cancellation === id.cancellation,
    );
    return known ?? {...id, knownSinceMs: this.options.clock.nowMs()};
  }

  private updateTable(
    earlier: readonly KnownId[],
    current: readonly KnownId[],
  ): void {
    const {table} = this.options;
    const currentIds = new Set(current.map(({jobId}) => jobId));
    for (const jobId of currentIds) table.addCancellation(jobId);
    for (const {jobId} of earlier) {
      if (!currentIds.has(jobId)) table.forgetCancellation(jobId);
    }
  }

  private listOf(jobId: string): KnownList {
    return this.lists.get(this.keyOf(jobId)) ?? ABSENT_LIST;
  }

  private keyOf(jobId: string): string {
    return this.options.keys.cancelledIds(jobId);
  }
}

function toStoredId({jobId, cancellation}: CancelledId): CancelledId {
  return {jobId, cancellation};
}
