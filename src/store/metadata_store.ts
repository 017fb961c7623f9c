/** A key with its value and revisions. */
export interface StoreItem {
  key: string;
  value: Buffer;
  /** Revision of the last change of this key. */
  revision: number;
  /** Lease to which the key is attached; 0 if none. */
  lease: number;
}

/** Change reported by a watch; a deletion has no value. */
export interface StoreChange {
  key: string;
  value: Buffer | undefined;
  revision: number;
}

/** Write of one key in a transaction. */
export interface StoreWrite {
  key: string;
  value: Buffer;
  /** Lease to attach; the key is removed when it ends. @default none */
  lease?: number;
}

/** Atomic change of several keys, conditional on their revisions. */
export interface StoreTransaction {
  /** Required current revisions of keys; 0 means that the key is absent. */
  expect: ReadonlyArray<{key: string; revision: number}>;
  write: readonly StoreWrite[];
  remove?: readonly string[];
}

/** Outcome of a transaction. */
export type TransactionResult =
  | {kind: 'committed'; revision: number}
  | {kind: 'conflict'; items: readonly StoreItem[]}
  | {kind: 'lease-ended'};

/** Result of a watch; the store may have dropped the requested history. */
export type WatchResult =
  | {kind: 'changes'; changes: readonly StoreChange[]; revision: number}
  | {kind: 'history-lost'};

/** Maximum size of a value in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Maximum number of keys in one transaction. */
export const MAX_TRANSACTION_KEYS = 32;

/**
 * Client of the platform's key-value store. Reads fail with
 * PLATFORM_UNAVAILABLE. Changes fail with PLATFORM_UNAVAILABLE if they had no
 * effect, and with CHANGE_IN_DOUBT if they may still take effect.
 */
export interface MetadataStore {
  /** Reads one key; undefined if it is absent. */
  read(key: string): Promise<StoreItem | undefined>;
  /**
   * Reads all keys below `prefix`. The pages are not a consistent snapshot, so
   * continue with a watch after `revision`, the revision of the first page.
   */
  list(prefix: string): Promise<{items: StoreItem[]; revision: number}>;
  /** Waits up to `waitMs` for changes below `prefix` after a revision. */
  watch(
    prefix: string,
    options: {afterRevision: number; waitMs: number},
  ): Promise<WatchResult>;
  /** Applies a transaction atomically. */
  commit(transaction: StoreTransaction): Promise<TransactionResult>;
  /** Grants a lease; keys attached to it are removed when it ends. */
  grantLease(timeToLiveMs: number): Promise<{lease: number}>;
  /** Renews a lease; resolves to false if it has already ended. */
  renewLease(lease: number): Promise<boolean>;
  /** Ends a lease and removes the keys attached to it. */
  endLease(lease: number): Promise<void>;
}
