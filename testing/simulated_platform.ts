import {PlatformEntry, WriteResult} from '../src/platform/platform_service.js';

/** The platform's key-value service as pure state. */
export class SimulatedPlatform {
  downUntilMs = 0;
  /** Owner of the simulated shard. */
  owner = {process: 0, epoch: 0};
  private readonly entries = new Map<string, PlatformEntry>();
  private revision = 0;

  /** All entries below a prefix. */
  list(prefix: string): PlatformEntry[] {
    return [...this.entries.values()].filter(({key}) => key.startsWith(prefix));
  }

  /** Reads one key. */
  read(key: string): PlatformEntry | undefined {
    return this.entries.get(key);
  }

  /** Compare-and-swap; `value` undefined deletes. */
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
