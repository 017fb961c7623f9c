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
  /** Token of the owner's term. */
  token: number;
  /** Revision of the head that the owner's first transaction wrote. */
  headRevision: number;
}

/** A change of one key; without a value it is removed. */
export type KeyChange = StoreWrite | {key: string; value: undefined};

/** What the head key holds. */
export interface HeadRecord {
  /** Term that wrote it; 0 for the transaction that began a term. */
  token: number;
  /** Number of the transaction in its term. */
  sequence: number;
}

/** Changes of one transaction beside the head, which is expected and written. */
export const MAX_CHANGES_PER_COMMIT = MAX_TRANSACTION_KEYS - 2;

/** Pause in ms before a transaction is repeated. */
const RETRY_MS = 100;

/** Encodes the value of a head key. */
export function encodeHead(head: HeadRecord): Buffer {
  return encode(head);
}

/**
 * Writes of one term of an owner. Each transaction expects the head that the
 * one before it wrote, so that writes of an earlier term, late ones included,
 * cannot be applied. Calls must not overlap.
 */
export class CommitLog {
  private headRevision: number;
  private sequence = 0;
  private stopped = false;

  constructor(private readonly options: CommitLogOptions) {
    this.headRevision = options.headRevision;
  }

  /** Ends repeats; the call that waits fails. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Commits up to {@link MAX_CHANGES_PER_COMMIT} changes; repeats until the outcome is
   * known.
   *
   * @throws ResultError FENCED if the term has ended.
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
    throw this.fenced('the log was stopped');
  }

  private createTransaction(changes: readonly KeyChange[]): StoreTransaction {
    const {headKey, token} = this.options;
    const head = encodeHead({token, sequence: this.sequence});
    const write: StoreWrite[] = [{key: headKey, value: head}];
    const remove: string[] = [];
    for (const change of changes) {
      if (change.value === undefined) remove.push(change.key);
      else write.push(change);
    }
    const expect = [{key: headKey, revision: this.headRevision}];
    return {expect, write, remove};
  }

  /** Returns the new revision of the head, or undefined to try again. */
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
      log.decide('commit-retry', {
        sequence: this.sequence,
        reason: (error as Error).message,
      });
      return undefined;
    }
  }

  /** An earlier attempt of the same transaction may have been applied. */
  private revisionAfterConflict(head: StoreItem | undefined): number {
    const record = head && (decode(head.value) as HeadRecord);
    const isOwn =
      record?.token === this.options.token && record.sequence === this.sequence;
    if (head && isOwn) return head.revision;
    throw this.fenced('another owner has taken the partition');
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
