import {ConfigurationDelta, ConfigurationEntry} from './configuration_delta.js';

/** Options of {@link RevisionedEntries}. */
export interface RevisionedEntriesOptions {
  /** Deleted keys that are remembered for deltas. @default 10000 */
  maxTombstones?: number;
}

/**
 * Keys with their highest known revision. A change is applied only if it is
 * newer than what is known, so that late, repeated and reordered messages
 * never bring back an old value.
 */
export class RevisionedEntries {
  private readonly entries = new Map<string, ConfigurationEntry>();
  /** Deleted keys in the order in which they were deleted here. */
  private readonly tombstones = new Map<string, ConfigurationEntry>();
  private readonly maxTombstones: number;
  private completeUpTo = 0;
  private highest = 0;
  /** All deletions with a higher revision are known here. */
  private deletionsCompleteAfter = 0;

  constructor(options: RevisionedEntriesOptions = {}) {
    this.maxTombstones = options.maxTombstones ?? 10_000;
  }

  /** All changes up to this revision are known here. */
  get completeRevision(): number {
    return this.completeUpTo;
  }

  /** Highest revision of any change that is applied here. */
  get highestRevision(): number {
    return this.highest;
  }

  /** Number of deleted keys that are remembered. */
  get tombstoneCount(): number {
    return this.tombstones.size;
  }

  /** Returns an existing key. */
  get(key: string): ConfigurationEntry | undefined {
    return this.entries.get(key);
  }

  /** Returns all existing keys. */
  values(): Iterable<ConfigurationEntry> {
    return this.entries.values();
  }

  /**
   * Applies one change; used for changes whose predecessors may be unknown.
   *
   * @returns True if it was newer than what was known.
   */
  applyChange(change: ConfigurationEntry): boolean {
    // Every change up to this revision is known, so an unknown one is stale.
    if (change.revision <= this.completeUpTo) return false;
    return this.replaceIfNewer(change);
  }

  /**
   * Applies a delta or snapshot.
   *
   * @returns The changes that had an effect; a deletion has no value.
   */
  applyDelta(delta: ConfigurationDelta): ConfigurationEntry[] {
    if (delta.isSnapshot && delta.completeRevision >= this.completeUpTo) {
      return this.applySnapshot(delta);
    }
    const applied = delta.entries.filter((entry) => this.applyChange(entry));
    // A delta that starts later than this store's knowledge leaves a gap.
    if (!delta.isSnapshot && delta.sinceRevision <= this.completeUpTo) {
      this.advanceCompleteRevision(delta.completeRevision);
    }
    return applied;
  }

  /**
   * Returns the changes after `sinceRevision`, or a snapshot if not all
   * deletions after it are known here.
   */
  deltaSince(sinceRevision: number): ConfigurationDelta {
    const completeRevision = this.completeUpTo;
    if (sinceRevision === 0 || sinceRevision < this.deletionsCompleteAfter) {
      const entries = [...this.entries.values()];
      return {sinceRevision: 0, completeRevision, entries, isSnapshot: true};
    }
    const candidates: ConfigurationEntry[] = [];
    if (sinceRevision < this.highest) {
      candidates.push(...this.entries.values(), ...this.tombstones.values());
    }
    const entries = candidates.filter(({revision}) => revision > sinceRevision);
    return {sinceRevision, completeRevision, entries, isSnapshot: false};
  }

  private applySnapshot(delta: ConfigurationDelta): ConfigurationEntry[] {
    const applied = delta.entries.filter((entry) => this.replaceIfNewer(entry));
    const present = new Set(delta.entries.map((entry) => entry.key));
    const revision = delta.completeRevision;
    for (const {key, revision: knownRevision} of [...this.entries.values()]) {
      if (present.has(key) || knownRevision >= revision) continue;
      // The exact revision of the deletion is unknown; it lies below this one.
      const deletion = {key, value: undefined, revision};
      this.replaceIfNewer(deletion);
      applied.push(deletion);
    }
    // A key that was written and deleted since the last known state leaves no
    // trace in a snapshot, while another store may hold its old value.
    if (revision > this.completeUpTo) this.deletionsCompleteAfter = revision;
    this.advanceCompleteRevision(revision);
    return applied;
  }

  private replaceIfNewer(change: ConfigurationEntry): boolean {
    const {key, revision} = change;
    const current = this.entries.get(key) ?? this.tombstones.get(key);
    if (revision <= (current?.revision ?? 0)) return false;
    this.tombstones.delete(key);
    this.entries.delete(key);
    if (change.value === undefined) this.tombstones.set(key, change);
    else this.entries.set(key, change);
    this.highest = Math.max(this.highest, revision);
    this.evictTombstones();
    return true;
  }

  private advanceCompleteRevision(revision: number): void {
    this.completeUpTo = Math.max(this.completeUpTo, revision);
    this.evictTombstones();
  }

  /** Drops only deletions that `completeThrough` already protects against. */
  private evictTombstones(): void {
    if (this.tombstones.size <= this.maxTombstones) return;
    for (const [key, {revision}] of this.tombstones) {
      if (this.tombstones.size <= this.maxTombstones) return;
      if (revision > this.completeUpTo) continue;
      this.tombstones.delete(key);
      this.deletionsCompleteAfter = Math.max(
        this.deletionsCompleteAfter,
        revision,
      );
    }
  }
}
