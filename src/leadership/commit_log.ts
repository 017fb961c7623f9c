import {decode, encode} from 'cbor-x';

import {sleep} from '../clock/sleep.js';
import {NodeLog} from '../logging/node_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  MetadataStore,
  MAX_TRANSACTION_KEYS,
  StoreItem,
  StoreTransaction,
  StoreWrite,
} from '../store/metadata_store.js';

/** Options of {@link CommitLog}. */
export interface CommitLogOptions {
  store: MetadataStore;
  log: NodeLog;
  headKey: string;
  /** Key of the owner record, which exists as long as the term lasts. */
  ownerKey: string;
  /**
   * Fencing token of the term: the revision at which the owner key was created.
   */
  token: number;
  /** Revision of the head that the transaction that began the term wrote. */
  headRevision: number;
}

/** Change of one key; a change without a value removes the key. */
export type KeyChange = StoreWrite | {key: string; value: undefined};

/** Value of the head key. */
export interface HeadRecord {
  /** Token of the term that wrote it; 0 if the transaction began a term. */
  token: number;
  /** Sequence number of the transaction in its term. */
  sequence: number;
}

/**
 * Maximum changes in a transaction. The head of the chain takes two of its keys,
 * the owner key a third.
 */
export const MAX_CHANGES_PER_COMMIT = MAX_TRANSACTION_KEYS - 3;

/** Delay in ms before a transaction is retried. */
const RETRY_MS = 100;

/** Encodes the value of a head key. */
export function encodeHead(head: HeadRecord): Buffer {
  return encode(head);
}

/**
 * Writes the changes of one term of ownership. Each transaction requires the
 * head revision that the previous one wrote, so that a delayed write is not
 * applied after a later one, and the owner key of the term, so that no write of
 * an earlier term is applied. Calls must not overlap.
 */
export class CommitLog {
  private headRevision: number;
  private sequence = 0;
  private stopped = false;

  constructor(private readonly options: CommitLogOptions) {
    this.headRevision = options.headRevision;
  }

  /** Stops retries; a commit that is waiting for its retry fails. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Commits up to {@link MAX_CHANGES_PER_COMMIT} changes and retries until the
   * outcome is known.
   *
   * @throws ResultError FENCED if the term has ended or the log was stopped.
   */
  async commit(changes: readonly KeyChange[]): Promise<void> {
    this.sequence += 1;
    const transaction = this.createTransaction(changes);
    while (!this.stopped) {
      const revision = await this.tryCommit(transaction);
      if (revision !== undefined) {
        this.headRevision = revision;
        return;
      }
      await sleep(RETRY_MS);
    }
    throw this.fenced('the commit log was stopped');
  }

  private createTransaction(changes: readonly KeyChange[]): StoreTransaction {
    const {headKey, ownerKey, token} = this.options;
    const head = encodeHead({token, sequence: this.sequence});
    const write: StoreWrite[] = [{key: headKey, value: head}];
    const remove: string[] = [];
    for (const change of changes) {
      if (change.value === undefined) remove.push(change.key);
      else write.push(change);
    }
    const expect = [
      {key: headKey, revision: this.headRevision},
      {key: ownerKey, revision: token},
    ];
    return {expect, write, remove};
  }

  /** Returns the new revision of the head; undefined to retry. */
  private async tryCommit(
    transaction: StoreTransaction,
  ): Promise<number | undefined> {
    const {store, log, headKey} = this.options;
    try {
      const result = await store.commit(transaction);
      if (result.kind === 'committed') return result.revision;
      if (result.kind === 'lease-ended') throw this.fenced('a lease ended');
      return this.revisionAfterConflict(
        result.items.find(({key}) => key === headKey),
      );
    } catch (error) {
      if (isFencedError(error)) throw error;
      log.logDecision('commit-retry', {
        sequence: this.sequence,
        reason: (error as Error).message,
      });
      return undefined;
    }
  }

  /**
   * Returns the revision of the head if an earlier attempt of the same
   * transaction was applied although its response was lost.
   */
  private revisionAfterConflict(head: StoreItem | undefined): number {
    const record = head && (decode(head.value) as HeadRecord);
    const isOwn =
      record?.token === this.options.token && record.sequence === this.sequence;
    if (head && isOwn) return head.revision;
    throw this.fenced('another node owns the partition');
  }

  private fenced(reason: string): ResultError {
    return new ResultError(
      ResultCodes.FENCED,
      `Cannot commit transaction ${this.sequence}: ${reason}`,
    );
  }
}

function isFencedError(error: unknown): boolean {
  return error instanceof ResultError && error.code === ResultCodes.FENCED;
}
