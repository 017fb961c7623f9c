import {createHash} from 'node:crypto';

import {Clock} from '../clock/clock.js';
import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../contracts/configuration_view.js';
import {Contract, contractSchema} from '../contracts/contract.js';
import {PlannedStop, plannedStopSchema} from '../contracts/planned_stop.js';
import {PlatformService} from '../platform/platform_service.js';

const PREFIX = 'config/';
const INTERVAL_MS = 1000;

/** Reads all contracts from the platform at an interval; a baseline. */
export class PolledConfiguration implements ConfigurationView {
  revision = 0;
  private readMs: number | undefined;
  private readonly known = new Map<string, Contract>();
  private readonly callers = new Map<string, AuthenticatedCaller>();
  private readonly stops = new Map<string, PlannedStop>();
  private readonly listeners = new Set<() => void>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly platform: PlatformService,
    private readonly clock: Clock,
  ) {}

  /** Reads now and then at the interval. */
  async start(): Promise<void> {
    try {
      const {entries, revision} = await this.platform.list(PREFIX);
      this.apply(entries.map(({value}) => JSON.parse(value) as unknown));
      this.revision = revision;
      this.readMs = this.clock.nowMs();
    } catch {
      // The last contracts stay in effect.
    }
    this.timer = setTimeout(() => void this.start(), INTERVAL_MS);
  }

  /** Stops reading. */
  stop(): void {
    clearTimeout(this.timer);
  }

  ageMs(): number {
    return this.readMs === undefined
      ? Infinity
      : this.clock.nowMs() - this.readMs;
  }

  contract(customer: string): Contract | undefined {
    return this.known.get(customer);
  }

  contracts(): Iterable<Contract> {
    return this.known.values();
  }

  authenticate(key: string): AuthenticatedCaller | undefined {
    return this.callers.get(createHash('sha256').update(key).digest('hex'));
  }

  plannedStop(name: string): PlannedStop | undefined {
    return this.stops.get(name);
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private apply(values: readonly unknown[]): void {
    this.known.clear();
    this.callers.clear();
    this.stops.clear();
    for (const value of values) {
      const contract = contractSchema.safeParse(value).data;
      const stop = plannedStopSchema.safeParse(value).data;
      if (contract) this.addContract(contract);
      if (stop) this.stops.set(stop.name, stop);
    }
    for (const listener of this.listeners) listener();
  }

  private addContract(contract: Contract): void {
    this.known.set(contract.customer, contract);
    for (const {name, keyHash} of contract.callers) {
      this.callers.set(keyHash, {contract, caller: name});
    }
  }
}
