import {ResultCodes} from '../src/result_codes/result_code.js';
import {ResultError} from '../src/result_codes/result_error.js';
import {
  MetadataStore,
  StoreChange,
  StoreItem,
  StoreTransaction,
  TransactionResult,
  WatchResult,
} from '../src/store/metadata_store.js';

/** Fault injected into a transaction. */
export type StoreFault =
  /** The transaction is not applied and fails with PLATFORM_UNAVAILABLE. */
  | 'unavailable'
  /** It is applied, but the caller gets CHANGE_IN_DOUBT. */
  | 'answer-lost'
  /**
   * The caller gets CHANGE_IN_DOUBT, and it is applied only when
   * {@link MemoryStore.applyDelayedTransactions} is called.
   */
  | 'late';

/** In-memory {@link MetadataStore} for tests, with fault injection. */
export class MemoryStore implements MetadataStore {
  /** Revision of the latest change. */
  revision = 1;
  /** Faults of the next transactions, in order. */
  readonly commitFaults: StoreFault[] = [];
  /**
   * Part of a key; transactions that write such a key have the fault 'late'.
   * @default none
   */
  lateKey: string | undefined;
  /** While true, all calls fail with PLATFORM_UNAVAILABLE and change nothing. */
  isDown = false;
  private readonly items = new Map<string, StoreItem>();
  private readonly history: StoreChange[] = [];
  /** Expiry and time to live in ms by lease id. */
  private readonly leases = new Map<
    number,
    {expiresAtMs: number; timeToLiveMs: number}
  >();
  private readonly delayedTransactions: StoreTransaction[] = [];
  private readonly waiters = new Set<() => void>();
  private compactedRevision = 0;
  private nextLeaseId = 100;

  read(key: string): Promise<StoreItem | undefined> {
    return this.ifAvailable(() => this.items.get(key));
  }

  list(prefix: string): Promise<{items: StoreItem[]; revision: number}> {
    return this.ifAvailable(() => ({
      items: [...this.items.values()].filter(({key}) => key.startsWith(prefix)),
      revision: this.revision,
    }));
  }

  async watch(
    prefix: string,
    options: {afterRevision: number; waitMs: number},
  ): Promise<WatchResult> {
    const findChanges = (): StoreChange[] =>
      this.history.filter(
        ({key, revision}) =>
          key.startsWith(prefix) && revision > options.afterRevision,
      );
    await this.ifAvailable(() => undefined);
    if (options.afterRevision < this.compactedRevision) {
      return {kind: 'history-lost'};
    }
    if (findChanges().length === 0) await this.nextChange(options.waitMs);
    await this.ifAvailable(() => undefined);
    if (options.afterRevision < this.compactedRevision) {
      return {kind: 'history-lost'};
    }
    return {kind: 'changes', changes: findChanges(), revision: this.revision};
  }

  commit(transaction: StoreTransaction): Promise<TransactionResult> {
    const fault = this.isLate(transaction) ? 'late' : this.commitFaults.shift();
    if (fault === 'late') this.delayedTransactions.push(transaction);
    if (fault === 'late') return Promise.reject(changeInDoubtError());
    if (fault === 'unavailable') return Promise.reject(unavailableError());
    return this.ifAvailable(() => {
      const result = this.apply(transaction);
      if (fault === 'answer-lost') throw changeInDoubtError();
      return result;
    });
  }

  grantLease(timeToLiveMs = Infinity): Promise<{lease: number}> {
    return this.ifAvailable(() => {
      const expiresAtMs = performance.now() + timeToLiveMs;
      this.leases.set(this.nextLeaseId, {expiresAtMs, timeToLiveMs});
      return {lease: this.nextLeaseId++};
    });
  }

  renewLease(lease: number): Promise<boolean> {
    return this.ifAvailable(() => {
      const known = this.leases.get(lease);
      if (known) known.expiresAtMs = performance.now() + known.timeToLiveMs;
      return known !== undefined;
    });
  }

  /** Expires the leases that have not been renewed within their time to live. */
  expireDueLeases(): void {
    for (const [lease, {expiresAtMs}] of [...this.leases]) {
      if (expiresAtMs <= performance.now()) this.expireLease(lease);
    }
  }

  endLease(lease: number): Promise<void> {
    return this.ifAvailable(() => this.expireLease(lease));
  }

  /** Expires a lease at once and removes the keys attached to it. */
  expireLease(lease: number): void {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }

  /** Applies the transactions delayed by the fault 'late'. */
  applyDelayedTransactions(): TransactionResult[] {
    return this.delayedTransactions
      .splice(0)
      .map((transaction) => this.apply(transaction));
  }

  /** Discards the change history; older watches then return 'history-lost'. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.history.length = 0;
    this.notifyWaiters();
  }

  /** Writes a key unconditionally. */
  put(key: string, value: Buffer): void {
    this.revision += 1;
    this.write(key, value, 0);
    this.notifyWaiters();
  }

  /** Removes a key unconditionally, if it exists. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({key, value: undefined, revision: this.revision});
    this.notifyWaiters();
  }

  private isLate({write}: StoreTransaction): boolean {
    const {lateKey} = this;
    return (
      lateKey !== undefined && write.some(({key}) => key.includes(lateKey))
    );
  }

  private apply(transaction: StoreTransaction): TransactionResult {
    const {expect, write, remove = []} = transaction;
    const areExpectationsMet = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!areExpectationsMet) {
      const items = expect.flatMap(({key}) => this.items.get(key) ?? []);
      return {kind: 'conflict', items};
    }
    if (write.some(({lease}) => lease && !this.leases.has(lease))) {
      return {kind: 'lease-ended'};
    }
    this.revision += 1;
    for (const {key, value, lease} of write) this.write(key, value, lease ?? 0);
    for (const key of remove) {
      this.items.delete(key);
      this.history.push({key, value: undefined, revision: this.revision});
    }
    this.notifyWaiters();
    return {kind: 'committed', revision: this.revision};
  }

  private write(key: string, value: Buffer, lease: number): void {
    const {revision} = this;
    this.items.set(key, {key, value, revision, lease});
    this.history.push({key, value, revision});
  }

  private nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(finish);
    });
  }

  private notifyWaiters(): void {
    for (const finish of [...this.waiters]) finish();
  }

  private ifAvailable<T>(action: () => T): Promise<T> {
    return this.isDown
      ? Promise.reject(unavailableError())
      : new Promise((resolve) => resolve(action()));
  }
}

function unavailableError(): ResultError {
  return new ResultError(
    ResultCodes.PLATFORM_UNAVAILABLE,
    'Cannot reach the store: it is down',
  );
}

function changeInDoubtError(): ResultError {
  return new ResultError(
    ResultCodes.CHANGE_IN_DOUBT,
    'Cannot tell whether the transaction was applied: no response',
  );
}
