import {PlatformService, VmEntry} from './platform_service.js';

/** Options of {@link Inventory}. */
export interface InventoryOptions {
  platform: Pick<PlatformService, 'listVms'>;
  dataCentre: string;
  /** Time between reads of the VM list in ms. @default 1000 */
  intervalMs?: number;
  /** VMs known from settings, used until the first read. @default none */
  initial?: readonly VmEntry[];
}

/**
 * Follows the platform's lagging VM list of one data centre. Keeps the last
 * list while the platform is down.
 */
export class Inventory {
  private vms: ReadonlyMap<string, VmEntry>;
  private readonly everListed = new Set<string>();
  private readonly listeners = new Set<() => void>();
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private lastReadStartedMs = -Infinity;

  constructor(private readonly options: InventoryOptions) {
    this.vms = new Map(
      (options.initial ?? [])
        .filter((entry) => entry.dataCentre === options.dataCentre)
        .map((entry) => [entry.vm, entry]),
    );
  }

  /** Reads the list now and then at each interval. */
  async start(): Promise<void> {
    await this.poll();
  }

  /** Stops reading. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /**
   * Monotonic time in ms at which the read of the current list was sent;
   * -Infinity before the first one.
   */
  get readStartedMs(): number {
    return this.lastReadStartedMs;
  }

  /** VMs of this data centre. */
  list(): VmEntry[] {
    return [...this.vms.values()];
  }

  /** Returns one VM. */
  find(vm: string): VmEntry | undefined {
    return this.vms.get(vm);
  }

  /** Tells whether the platform listed the VM before and no longer does. */
  wasRemoved(vm: string): boolean {
    return this.everListed.has(vm) && !this.vms.has(vm);
  }

  /** Calls `listener` after each change of the list. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  private async poll(): Promise<void> {
    try {
      const {platform, dataCentre} = this.options;
      const readStartedMs = performance.now();
      const list = await platform.listVms(dataCentre);
      this.lastReadStartedMs = readStartedMs;
      this.applyList(list);
    } catch {
      // The last list stays valid while the platform can't be reached.
    }
    if (this.isStopped) return;
    this.timer = setTimeout(
      () => void this.poll(),
      this.options.intervalMs ?? 1000,
    );
  }

  private applyList(entries: readonly VmEntry[]): void {
    for (const entry of entries) this.everListed.add(entry.vm);
    const next = new Map(entries.map((entry) => [entry.vm, entry]));
    const hasChanged =
      next.size !== this.vms.size ||
      entries.some((entry) => !isUnchanged(this.vms.get(entry.vm), entry));
    this.vms = next;
    if (!hasChanged) return;
    for (const listener of this.listeners) listener();
  }
}

function isUnchanged(previous: VmEntry | undefined, entry: VmEntry): boolean {
  return (
    previous !== undefined &&
    previous.state === entry.state &&
    previous.host === entry.host &&
    previous.port === entry.port &&
    previous.shard === entry.shard
  );
}
