import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {NodeLog} from '../logging/node_log.js';
import {MetadataStore, StoreChange, StoreItem} from './metadata_store.js';

/** Options of {@link PrefixMirror}. */
export interface PrefixMirrorOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  prefix: string;
  /** Called with each change in order; listings are reported as changes. */
  onChange: (change: StoreChange) => void;
  /** Called after each batch of changes. @default none */
  onBatch?: () => void;
  /** Delay in ms between two watches, to batch changes. @default 0 */
  batchDelayMs?: () => number;
  /** Maximum duration in ms of one watch. @default 1000 */
  waitMs?: number;
}

/** Delay in ms before a failed call to the store is retried. */
const RETRY_MS = 200;

/** Tracks the keys below a prefix with watches and reports each change. */
export class PrefixMirror {
  /** Revision up to which changes were applied; 0 before the first listing. */
  revision = 0;
  /** Time in ms of the last response of the store; -Infinity before. */
  lastResponseMs = -Infinity;
  /**
   * Time in ms as of which the keys are known; -Infinity before the first
   * listing. Earlier than {@link lastResponseMs} if a response was read late.
   */
  knownAsOfMs = -Infinity;
  private readonly revisions = new Map<string, number>();
  /** Revisions of deletions that arrived while a listing was in progress. */
  private readonly deletions = new Map<string, number>();
  private listings = 0;
  private readonly stopSignal = new AbortController();
  private isConnected = true;
  private batchDelaySignal = new AbortController();

  constructor(private readonly options: PrefixMirrorOptions) {}

  /** Whether the prefix has been listed at least once. */
  get isLoaded(): boolean {
    return this.revision > 0;
  }

  /** Whether the prefix is loaded and the latest call succeeded. */
  get isResponding(): boolean {
    return this.isLoaded && this.isConnected;
  }

  /** Starts to list and watch the prefix. */
  start(): void {
    void this.runWatchLoop();
  }

  /** Stops the mirror; no further changes are reported. */
  stop(): void {
    this.stopSignal.abort();
    this.batchDelaySignal.abort();
  }

  /** Ends the current batching delay, so that the next watch starts now. */
  skipBatchDelay(): void {
    this.batchDelaySignal.abort();
  }

  /**
   * Lists the prefix now and reports keys that no longer exist as deleted.
   *
   * @throws ResultError PLATFORM_UNAVAILABLE if the store does not answer.
   */
  async reload(): Promise<void> {
    this.listings += 1;
    try {
      const {store, prefix, clock} = this.options;
      const sentMs = clock.nowMs();
      this.applyListing(await store.list(prefix));
      this.recordKnown(sentMs);
    } finally {
      this.listings -= 1;
      if (this.listings === 0) this.deletions.clear();
    }
  }

  private applyListing(listing: {
    items: readonly StoreItem[];
    revision: number;
  }): void {
    if (this.stopSignal.signal.aborted) return;
    const {items, revision} = listing;
    const listed = new Set(items.map(({key}) => key));
    for (const [key, known] of [...this.revisions]) {
      // The watch reports keys that changed after the revision of the listing.
      if (listed.has(key) || known > revision) continue;
      this.apply({key, value: undefined, revision: known});
    }
    for (const item of items) {
      const deleted = this.deletions.get(item.key) ?? 0;
      if (item.revision > deleted) this.apply(item);
    }
    this.lastResponseMs = this.options.clock.nowMs();
    this.revision = Math.max(this.revision, revision);
    this.options.onBatch?.();
  }

  private async runWatchLoop(): Promise<void> {
    while (!this.stopSignal.signal.aborted) {
      try {
        if (!this.isLoaded) await this.reload();
        else await this.watchOnce();
        this.setConnected(true);
      } catch (error) {
        this.setConnected(false, error as Error);
        await sleep(RETRY_MS);
      }
      await this.waitForBatch();
    }
  }

  private async watchOnce(): Promise<void> {
    const {store, prefix, clock, waitMs = 1000} = this.options;
    const sentMs = clock.nowMs();
    const result = await store.watch(prefix, {
      afterRevision: this.revision,
      waitMs,
    });
    if (this.stopSignal.signal.aborted) return;
    if (result.kind === 'history-lost') {
      this.options.log.logDecision('mirror-reload', {
        prefix,
        after: this.revision,
      });
      await this.reload();
      return;
    }
    this.lastResponseMs = clock.nowMs();
    // A watch without changes is answered after `waitMs`; one with changes
    // earlier, so that this may be up to `waitMs` too late.
    this.recordKnown(Math.min(this.lastResponseMs, sentMs + waitMs));
    for (const change of result.changes) {
      // A concurrent listing has already covered changes up to its revision.
      if (change.revision > this.revision) this.apply(change);
    }
    this.revision = Math.max(this.revision, result.revision);
    if (result.changes.length > 0) this.options.onBatch?.();
  }

  private recordKnown(asOfMs: number): void {
    this.knownAsOfMs = Math.max(this.knownAsOfMs, asOfMs);
  }

  private apply(change: StoreChange): void {
    const known = this.revisions.get(change.key) ?? 0;
    if (change.value === undefined) {
      if (this.listings > 0) this.deletions.set(change.key, change.revision);
      if (known > change.revision || known === 0) return;
      this.revisions.delete(change.key);
    } else {
      if (known >= change.revision) return;
      this.revisions.set(change.key, change.revision);
    }
    this.report(change);
  }

  /** Reports a change; one that fails must not keep others from being read. */
  private report(change: StoreChange): void {
    const {log, onChange} = this.options;
    try {
      onChange(change);
    } catch (error) {
      const {key, revision} = change;
      log.logError('change-not-applied', error as Error, {key, revision});
    }
  }

  private async waitForBatch(): Promise<void> {
    const batchDelayMs = this.options.batchDelayMs?.() ?? 0;
    if (batchDelayMs === 0) return;
    await sleep(batchDelayMs, {signal: this.batchDelaySignal.signal});
    if (
      this.batchDelaySignal.signal.aborted &&
      !this.stopSignal.signal.aborted
    ) {
      this.batchDelaySignal = new AbortController();
    }
  }

  private setConnected(isConnected: boolean, error?: Error): void {
    if (isConnected === this.isConnected) return;
    this.isConnected = isConnected;
    const {log, prefix} = this.options;
    if (isConnected) log.logDecision('store-regained', {prefix});
    else log.logDecision('store-lost', {prefix, reason: error?.message});
  }
}
