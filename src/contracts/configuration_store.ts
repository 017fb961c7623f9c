import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {CallerIndex} from './caller_index.js';
import {ConfigurationDelta, ConfigurationEntry} from './configuration_delta.js';
import {parseConfigurationKey} from './configuration_key.js';
import {
  contractRecordSchema,
  stopRecordSchema,
} from './configuration_record.js';
import {AuthenticatedCaller, ConfigurationView} from './configuration_view.js';
import {Contract} from './contract.js';
import {PlannedStop} from './planned_stop.js';
import {
  RevisionedEntries,
  RevisionedEntriesOptions,
} from './revisioned_entries.js';

/** Options of {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions extends RevisionedEntriesOptions {
  clock: Clock;
}

/**
 * Configuration in effect in this process. A value that this version of the
 * program cannot parse is still passed on to peers, while the last valid one
 * stays in effect here.
 */
export class ConfigurationStore implements ConfigurationView {
  private readonly entries: RevisionedEntries;
  private readonly clock: Clock;
  private readonly contractsByCustomer = new Map<string, Contract>();
  /** Contracts that were deleted, by customer. */
  private readonly endedContracts = new Map<string, Contract>();
  private readonly stopsByName = new Map<string, PlannedStop>();
  private readonly callers = new CallerIndex();
  private readonly unreadable = new Set<string>();
  private readonly listeners = new Set<() => void>();
  private confirmedMs: number | undefined;

  constructor(options: ConfigurationStoreOptions) {
    this.clock = options.clock;
    this.entries = new RevisionedEntries(options);
  }

  get revision(): number {
    return this.entries.highestRevision;
  }

  /** All changes up to this revision are in effect here. */
  get completeRevision(): number {
    return this.entries.completeRevision;
  }

  /** True once the platform's state was received from it or a peer. */
  get isReady(): boolean {
    return this.confirmedMs !== undefined;
  }

  /** Keys whose values this version of the program cannot parse. */
  get unreadableKeys(): readonly string[] {
    return [...this.unreadable];
  }

  ageMs(): number {
    if (this.confirmedMs === undefined) return Infinity;
    return Math.max(0, this.clock.nowMs() - this.confirmedMs);
  }

  contract(customer: string): Contract | undefined {
    return this.contractsByCustomer.get(customer);
  }

  latestContract(customer: string): Contract | undefined {
    return this.contract(customer) ?? this.endedContracts.get(customer);
  }

  contracts(): Iterable<Contract> {
    return this.contractsByCustomer.values();
  }

  authenticate(key: string): AuthenticatedCaller | undefined {
    return this.callers.find(key);
  }

  /** Returns the customer whose contract lists a key hash. */
  findCustomerByKeyHash(keyHash: string): string | undefined {
    return this.callers.findCustomerByKeyHash(keyHash);
  }

  plannedStop(name: string): PlannedStop | undefined {
    return this.stopsByName.get(name);
  }

  /** Returns all planned stops. */
  plannedStops(): Iterable<PlannedStop> {
    return this.stopsByName.values();
  }

  /** Returns the value and revision of a key, if it exists. */
  entry(key: string): ConfigurationEntry | undefined {
    return this.entries.get(key);
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies one change, for example one that this process wrote. */
  applyChange(change: ConfigurationEntry): void {
    if (this.entries.applyChange(change)) this.applyEntries([change]);
  }

  /**
   * Applies changes received from the platform or a peer.
   *
   * @param delta - Changes or snapshot.
   * @param requestedMs - Monotonic time in ms at which the changes were
   *     requested; the state is at least as recent as this time minus the
   *     age in the delta.
   */
  applyDelta(delta: ConfigurationDelta, requestedMs: number): void {
    const applied = this.entries.applyDelta(delta);
    const isComplete = this.entries.completeRevision >= delta.completeRevision;
    if (delta.ageMs !== undefined && isComplete) {
      const confirmedMs = requestedMs - delta.ageMs;
      this.confirmedMs = Math.max(this.confirmedMs ?? -Infinity, confirmedMs);
    }
    if (applied.length > 0) this.applyEntries(applied);
  }

  /** Returns the changes that a peer complete up to `sinceRevision` lacks. */
  deltaSince(sinceRevision: number): ConfigurationDelta {
    const delta = this.entries.deltaSince(sinceRevision);
    return this.isReady ? {...delta, ageMs: this.ageMs()} : delta;
  }

  private applyEntries(changes: readonly ConfigurationEntry[]): void {
    for (const change of changes) this.applyEntry(change);
    for (const listener of this.listeners) listener();
  }

  private applyEntry({key, value}: ConfigurationEntry): void {
    const subject = parseConfigurationKey(key);
    if (!subject) return;
    this.unreadable.delete(key);
    if (subject.kind === 'contract') {
      const record = this.parseRecord(key, value, contractRecordSchema);
      if (record) this.replaceContract(subject.customer, record);
      return;
    }
    const record = this.parseRecord(key, value, stopRecordSchema);
    if (record?.value) this.stopsByName.set(subject.name, record.value);
    else if (record) this.stopsByName.delete(subject.name);
  }

  private replaceContract(
    customer: string,
    {value: contract, ended}: {value: Contract | null; ended?: Contract},
  ): void {
    const previous = this.contractsByCustomer.get(customer);
    if (previous) this.callers.remove(previous);
    this.contractsByCustomer.delete(customer);
    if (ended) this.endedContracts.set(customer, ended);
    else this.endedContracts.delete(customer);
    if (!contract) return;
    this.contractsByCustomer.set(customer, contract);
    this.callers.add(contract);
  }

  private parseRecord<T>(
    key: string,
    value: string | undefined,
    schema: z.ZodType<{value: T | null; ended?: T}>,
  ): {value: T | null; ended?: T} | undefined {
    if (value === undefined) return {value: null};
    try {
      return schema.parse(JSON.parse(value));
    } catch {
      this.unreadable.add(key);
      return undefined;
    }
  }
}
