import {ConfigurationDelta, ConfigurationEntry} from './configuration_delta.js';

/** Options of {@link RevisionedEntries}. */
export interface RevisionedEntriesOptions {
  /** Largest number of deleted keys kept as tombstones. @default 10000 */
  maxTombstones?: number;
}

/**
 * Keys with their highest known revision. A change is applied only if it is
 * newer than the known one, so that delayed, duplicate and reordered messages
 * never restore an old value.
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

  /** Number of deleted keys with a tombstone. */
  get tombstoneCount(): number {
    return this.tombstones.size;
  }

  /** Returns the entry of a key, if it exists. */
  get(key: string): ConfigurationEntry | undefined {
    return this.entries.get(key);
  }

  /** Returns the entries of all existing keys. */
  values(): Iterable<ConfigurationEntry> {
    return this.entries.values();
  }

  /**
   * Applies one change, whose predecessors may be missing here.
   *
   * @returns True if it was newer than the known entry.
   */
  applyChange(change: ConfigurationEntry): boolean {
    // All changes up to this revision were applied, so this one is stale.
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
    // A delta that starts above the complete revision leaves a gap.
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
    // A snapshot does not show keys that were written and deleted since the
    // last known state, while another store may still hold an old value.
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

  /**
   * Evicts the oldest tombstones above the limit. Those above `completeUpTo`
   * are kept, because only they prevent an older change from being applied.
   */
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
