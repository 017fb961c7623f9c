import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {NodeLog} from '../logging/node_log.js';
import {RandomSource} from '../random/random_source.js';
import {MetadataStore, StoreTransaction} from '../store/metadata_store.js';
import {encodeHead} from './commit_log.js';
import {decodeOwner, encodeOwner, OwnerRecord} from './owner_record.js';
import {OwnerTerm} from './owner_term.js';
import {PartitionKeys} from './partition_keys.js';

/** Options of {@link OwnerElection}. */
export interface OwnerElectionOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  random: RandomSource;
  keys: PartitionKeys;
  /** Creates the owner record of this node; called for each attempt. */
  createRecord: () => OwnerRecord;
  /** Lease in ms after which an owner that stops renewing is replaced. */
  termLeaseMs: number;
  /**
   * Delay in ms before an attempt, so that other nodes win. Meant for small
   * VMs, which would be slow owners.
   *
   * @default 0
   */
  candidacyDelayMs?: number;
  /** Returns whether the owner key is absent according to the local mirror. */
  isUnowned: () => boolean;
  /** Called with each term for which this node was elected. */
  onElected: (term: OwnerTerm, owner: OwnerRecord) => void;
}

/** Maximum random delay in ms before an attempt; spreads the candidates. */
const JITTER_MS = 120;

/** Interval in ms between checks for a partition without an owner. */
const CHECK_INTERVAL_MS = 300;

/**
 * Time in ms without commits after which an owner whose process is presumed
 * dead may be replaced.
 */
const NO_COMMIT_WINDOW_MS = 500;

/** Acquires ownership of a partition that has no live owner. */
export class OwnerElection {
  private term: OwnerTerm | undefined;
  private isAttempting = false;
  private stopped = false;

  constructor(private readonly options: OwnerElectionOptions) {}

  /** Starts the periodic check for a partition without an owner. */
  start(): void {
    void this.checkPeriodically();
  }

  /** Stops the election and releases the term if this node is the owner. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.term?.release();
  }

  /** Checks at once, and attempts to become the owner if there is none. */
  async check(): Promise<void> {
    const {isUnowned} = this.options;
    if (this.isAttempting || this.stopped || this.term?.isOver === false) {
      return;
    }
    if (!isUnowned()) return;
    this.isAttempting = true;
    try {
      await sleep(this.pauseMs());
      if (isUnowned() && !this.stopped) await this.tryTakeOwnership(0);
    } catch (error) {
      this.logFailure(error);
    } finally {
      this.isAttempting = false;
    }
  }

  /**
   * Replaces an owner that requested it because it cannot reach the store.
   *
   * @param token - Revision of its owner key; without effect if it has changed.
   */
  async replaceOwner(token: number): Promise<void> {
    if (this.isAttempting || this.stopped || this.term?.isOver === false) {
      return;
    }
    this.isAttempting = true;
    try {
      await sleep(this.pauseMs());
      if (!this.stopped) await this.tryTakeOwnership(token);
    } catch (error) {
      this.logFailure(error);
    } finally {
      this.isAttempting = false;
    }
  }

  /**
   * Replaces an owner whose process is presumed dead before its lease ends, if
   * it commits nothing meanwhile. If it still runs, the new head fences its
   * writes.
   */
  async replaceDeadOwner(): Promise<void> {
    if (this.isAttempting || this.stopped || this.term?.isOver === false) {
      return;
    }
    this.isAttempting = true;
    try {
      const before = await this.readKeys();
      await sleep(NO_COMMIT_WINDOW_MS + this.pauseMs());
      const now = await this.readKeys();
      const isSilent =
        now.head === before.head && now.owner === before.owner && now.owner > 0;
      this.options.log.logDecision('replace-owner', {isSilent});
      if (isSilent && !this.stopped) await this.tryTakeOwnership(now.owner);
    } catch (error) {
      this.logFailure(error);
    } finally {
      this.isAttempting = false;
    }
  }

  /**
   * Ends the term of this node if its owner key was overwritten or removed since.
   * Another node may own the partition then, also while this one still reaches
   * workers that have not heard of it.
   *
   * @param revision - Store revision of a change of the owner key.
   */
  handleOwnerKeyChange(revision: number): void {
    const {term} = this;
    if (!term || term.isOver || revision <= term.token) return;
    term.end('the owner key has changed');
  }

  /** Delay in ms before an attempt. */
  private pauseMs(): number {
    const {random, candidacyDelayMs = 0} = this.options;
    return candidacyDelayMs + random.next() * JITTER_MS;
  }

  private logFailure(error: unknown): void {
    const reason = (error as Error).message;
    this.options.log.logDecision('take-ownership-failed', {reason});
  }

  /** Reads the revisions of the owner and head keys; 0 if absent. */
  private async readKeys(): Promise<{owner: number; head: number}> {
    const {store, keys} = this.options;
    const [owner, head] = await Promise.all([
      store.read(keys.owner),
      store.read(keys.head),
    ]);
    return {owner: owner?.revision ?? 0, head: head?.revision ?? 0};
  }

  /** Reads the revisions of the heads that exist. */
  private async readHeads(): Promise<ReadonlyMap<string, number>> {
    const {store, keys} = this.options;
    const {items} = await store.list(keys.head);
    return new Map(items.map(({key, revision}) => [key, revision]));
  }

  private async checkPeriodically(): Promise<void> {
    while (!this.stopped) {
      await this.check();
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  /**
   * Writes the owner key and starts a term if the key still has the given
   * revision.
   */
  private async tryTakeOwnership(ownerRevision: number): Promise<void> {
    const {store, clock, keys, termLeaseMs, log} = this.options;
    const grantedAt = {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
    const {lease} = await store.grantLease(termLeaseMs);
    const heads = await this.readHeads();
    const owner = this.options.createRecord();
    const revision = await this.commitOwner(owner, {
      expect: [
        {key: keys.owner, revision: ownerRevision},
        ...keys.heads.map((key) => ({key, revision: heads.get(key) ?? 0})),
      ],
      write: [
        {key: keys.owner, value: encodeOwner(owner), lease},
        ...keys.heads.map((key) => ({
          key,
          value: encodeHead({token: 0, sequence: 0}),
        })),
      ],
    });
    if (revision === undefined) {
      // Ends the lease so that a delayed commit of the owner key fails.
      await store.endLease(lease);
      return;
    }
    log.logDecision('take-ownership', {term: revision, lease});
    this.term = new OwnerTerm({
      store,
      clock,
      log,
      lease,
      leaseMs: termLeaseMs,
      grantedAt,
      token: revision,
    });
    this.options.onElected(this.term, owner);
  }

  /** Returns the new revision of the owner key; undefined if not written. */
  private async commitOwner(
    owner: OwnerRecord,
    transaction: StoreTransaction,
  ): Promise<number | undefined> {
    const {store, keys, log} = this.options;
    try {
      const result = await store.commit(transaction);
      if (result.kind === 'committed') return result.revision;
      log.logDecision('take-ownership-lost', {outcome: result.kind});
      return undefined;
    } catch (error) {
      // The key may have been written although the response was lost.
      const item = await store.read(keys.owner);
      const isOwn =
        item && decodeOwner(item.value).linkToken === owner.linkToken;
      log.logDecision('take-ownership-in-doubt', {
        isOwn: isOwn === true,
        reason: (error as Error).message,
      });
      return isOwn ? item.revision : undefined;
    }
  }
}
