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

/** What happens to the next call of a kind. */
export type StoreFault =
  /** Nothing is done. */
  | 'unavailable'
  /** It is done and its answer is lost. */
  | 'answer-lost'
  /** Its answer is lost and it is done when {@link MemoryStore.applyLate} is called. */
  | 'late';

/** Store in memory with the faults of the platform's store; for tests. */
export class MemoryStore implements MetadataStore {
  revision = 1;
  /** Faults of the next transactions, first to last. */
  readonly commitFaults: StoreFault[] = [];
  /** While set, all calls fail without effect. */
  isDown = false;
  private readonly items = new Map<string, StoreItem>();
  private readonly history: StoreChange[] = [];
  /** Leases with the time in ms at which they end. */
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
    const fault = this.commitFaults.shift();
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

  /** Ends the leases whose time has passed. */
  expireDueLeases(): void {
    for (const [lease, {expiresAtMs}] of [...this.leases]) {
      if (expiresAtMs <= performance.now()) this.expireLease(lease);
    }
  }

  endLease(lease: number): Promise<void> {
    return this.ifAvailable(() => this.expireLease(lease));
  }

  /** Ends a lease and removes its keys, as if its time had passed. */
  expireLease(lease: number): void {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }

  /** Carries out the transactions whose answers were late. */
  applyDelayedTransactions(): TransactionResult[] {
    return this.delayedTransactions
      .splice(0)
      .map((transaction) => this.apply(transaction));
  }

  /** Forgets the history up to now. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.history.length = 0;
    this.notifyWaiters();
  }

  /** Writes a key without a condition. */
  put(key: string, value: Buffer): void {
    this.revision += 1;
    this.write(key, value, 0);
    this.notifyWaiters();
  }

  /** Removes a key. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({key, value: undefined, revision: this.revision});
    this.notifyWaiters();
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
    'Cannot tell whether the transaction was applied: no answer',
  );
}
