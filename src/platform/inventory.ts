import {PlatformService, VmEntry} from './platform_service.js';

/** Options of {@link Inventory}. */
export interface InventoryOptions {
  platform: Pick<PlatformService, 'listVms'>;
  dataCentre: string;
  /** Time in ms between reads of the VM list. @default 1000 */
  intervalMs?: number;
  /** VMs known from settings, used until the first read. @default none */
  initial?: readonly VmEntry[];
}

/**
 * Polls the platform's VM list of one data centre, which may be out of date.
 * Keeps the last list while the platform is unavailable.
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

  /** Reads the list once, then repeatedly at the interval. */
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

  /** Returns the VMs of this data centre. */
  list(): VmEntry[] {
    return [...this.vms.values()];
  }

  /** Returns a VM, or undefined if it is not listed. */
  find(vm: string): VmEntry | undefined {
    return this.vms.get(vm);
  }

  /** Returns true if the platform has listed the VM and no longer does. */
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
