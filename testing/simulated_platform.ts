import {PlatformEntry, WriteResult} from '../src/platform/platform_service.js';

/** In-memory simulation of the platform's key-value service, without I/O. */
export class SimulatedPlatform {
  /** Simulated time in ms until which the callers treat it as unavailable. */
  downUntilMs = 0;
  /** Process that owns the simulated shard, and the epoch of its ownership. */
  owner = {process: 0, epoch: 0};
  private readonly entries = new Map<string, PlatformEntry>();
  private revision = 0;

  /** Returns all entries whose keys start with a prefix. */
  list(prefix: string): PlatformEntry[] {
    return [...this.entries.values()].filter(({key}) => key.startsWith(prefix));
  }

  /** Returns the entry of a key. */
  read(key: string): PlatformEntry | undefined {
    return this.entries.get(key);
  }

  /** Writes by compare-and-swap; an undefined `value` deletes the key. */
  write(
    key: string,
    value: string | undefined,
    expectedRevision: number,
  ): WriteResult {
    const current = this.entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) {
      return {written: false, current};
    }
    this.revision += 1;
    if (value === undefined) this.entries.delete(key);
    else this.entries.set(key, {key, value, revision: this.revision});
    return {written: true, revision: this.revision};
  }
}
