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
  /** Creates the record of this node as an owner, anew for each term. */
  createRecord: () => OwnerRecord;
  /** Time in ms after which an owner that does not renew is replaced. */
  termLeaseMs: number;
  /**
   * Time in ms by which this node lets others go first; for small VMs, on which
   * an owner would be slow.
   *
   * @default 0
   */
  candidacyDelayMs?: number;
  /** Tells whether the owner key is absent as far as this node knows. */
  isUnowned: () => boolean;
  /** Called with each term that this node wins. */
  onElected: (term: OwnerTerm, owner: OwnerRecord) => void;
}

/** Longest random pause in ms before an attempt; spreads the candidates. */
const JITTER_MS = 120;

/** Pause in ms between checks for a vacant partition. */
const CHECK_INTERVAL_MS = 300;

/**
 * Time in ms for which an owner whose process is gone must have committed
 * nothing before it is replaced.
 */
const NO_COMMIT_WINDOW_MS = 500;

/** Takes ownership of a partition when nobody has it. */
export class OwnerElection {
  private term: OwnerTerm | undefined;
  private isAttempting = false;
  private stopped = false;

  constructor(private readonly options: OwnerElectionOptions) {}

  /** Starts to check for a vacant partition. */
  start(): void {
    void this.checkPeriodically();
  }

  /** Stops, and gives the partition up if this node owns it. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.term?.release();
  }

  /** Checks now; for a change of the owner key. */
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
   * Replaces an owner that asks for it because the store refuses it.
   *
   * @param token - Revision of its owner key; nothing is done if it changed.
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
   * Replaces an owner whose process is gone without waiting for its lease, if
   * it commits nothing. An owner that does live is fenced by the head.
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
      this.options.log.decide('replace-owner', {isSilent});
      if (isSilent && !this.stopped) await this.tryTakeOwnership(now.owner);
    } catch (error) {
      this.logFailure(error);
    } finally {
      this.isAttempting = false;
    }
  }

  /** Pause before an attempt. */
  private pauseMs(): number {
    const {random, candidacyDelayMs = 0} = this.options;
    return candidacyDelayMs + random.next() * JITTER_MS;
  }

  private logFailure(error: unknown): void {
    const reason = (error as Error).message;
    this.options.log.decide('take-ownership-failed', {reason});
  }

  /** Revisions of the owner and head keys; 0 if absent. */
  private async readKeys(): Promise<{owner: number; head: number}> {
    const {store, keys} = this.options;
    const [owner, head] = await Promise.all([
      store.read(keys.owner),
      store.read(keys.head),
    ]);
    return {owner: owner?.revision ?? 0, head: head?.revision ?? 0};
  }

  private async checkPeriodically(): Promise<void> {
    while (!this.stopped) {
      await this.check();
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  /** Takes the partition if the owner key still has this revision. */
  private async tryTakeOwnership(ownerRevision: number): Promise<void> {
    const {store, clock, keys, termLeaseMs, log} = this.options;
    const grantedAt = {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
    const {lease} = await store.grantLease(termLeaseMs);
    const head = await store.read(keys.head);
    const owner = this.options.createRecord();
    const revision = await this.commitOwner(owner, {
      expect: [
        {key: keys.owner, revision: ownerRevision},
        {key: keys.head, revision: head?.revision ?? 0},
      ],
      write: [
        {key: keys.owner, value: encodeOwner(owner), lease},
        {key: keys.head, value: encodeHead({token: 0, sequence: 0})},
      ],
    });
    if (revision === undefined) {
      // A commit that is carried out late needs the lease and then fails.
      await store.endLease(lease);
      return;
    }
    log.decide('take-ownership', {term: revision, lease});
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

  /** Returns the revision of the owner key; undefined if it was not taken. */
  private async commitOwner(
    owner: OwnerRecord,
    transaction: StoreTransaction,
  ): Promise<number | undefined> {
    const {store, keys, log} = this.options;
    try {
      const result = await store.commit(transaction);
      if (result.kind === 'committed') return result.revision;
      log.decide('take-ownership-lost', {outcome: result.kind});
      return undefined;
    } catch (error) {
      // The answer may be lost although the key was written.
      const item = await store.read(keys.owner);
      const isOwn =
        item && decodeOwner(item.value).linkToken === owner.linkToken;
      log.decide('take-ownership-in-doubt', {
        isOwn: isOwn === true,
        reason: (error as Error).message,
      });
      return isOwn ? item.revision : undefined;
    }
  }
}
