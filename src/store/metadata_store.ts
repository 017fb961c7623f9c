/** A key with its value and revisions. */
export interface StoreItem {
  key: string;
  value: Buffer;
  /** Revision of the last change of this key. */
  revision: number;
  /** Lease the key depends on; 0 if none. */
  lease: number;
}

/** Change seen by a watch; a deletion has no value. */
export interface StoreChange {
  key: string;
  value: Buffer | undefined;
  revision: number;
}

/** One key that a transaction writes. */
export interface StoreWrite {
  key: string;
  value: Buffer;
  /** Lease with whose end the key is removed. @default none */
  lease?: number;
}

/** All-or-nothing change of several keys. */
export interface StoreTransaction {
  /** Revisions the keys must have; 0 means absent. */
  expect: ReadonlyArray<{key: string; revision: number}>;
  write: readonly StoreWrite[];
  remove?: readonly string[];
}

/** How a transaction ended. */
export type TransactionResult =
  | {kind: 'committed'; revision: number}
  | {kind: 'conflict'; items: readonly StoreItem[]}
  | {kind: 'lease-ended'};

/** Result of one watch call. */
export type WatchResult =
  | {kind: 'changes'; changes: readonly StoreChange[]; revision: number}
  | {kind: 'history-lost'};

/** Most keys that one transaction may name. */
export const MAX_TRANSACTION_KEYS = 32;

/**
 * The platform's key-value store. Reads fail with PLATFORM_UNAVAILABLE;
 * changes fail with PLATFORM_UNAVAILABLE if nothing was done and with
 * CHANGE_IN_DOUBT if they may still take effect.
 */
export interface MetadataStore {
  /** Reads one key. */
  read(key: string): Promise<StoreItem | undefined>;
  /**
   * Reads all keys below `prefix`. The pages are not a snapshot: follow with a
   * watch after `revision`, which is that of the first page.
   */
  list(prefix: string): Promise<{items: StoreItem[]; revision: number}>;
  /** Waits up to `waitMs` for changes below `prefix`. */
  watch(
    prefix: string,
    options: {afterRevision: number; waitMs: number},
  ): Promise<WatchResult>;
  /** Applies a transaction. */
  commit(transaction: StoreTransaction): Promise<TransactionResult>;
  /** Grants a lease; its keys are removed when it ends. */
  grantLease(timeToLiveMs: number): Promise<{lease: number}>;
  /** Renews a lease; returns false if it has ended. */
  renewLease(lease: number): Promise<boolean>;
  /** Ends a lease and removes its keys. */
  endLease(lease: number): Promise<void>;
}
