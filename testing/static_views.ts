import {createHash} from 'node:crypto';

import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../src/contracts/configuration_view.js';
import {Contract, contractSchema} from '../src/contracts/contract.js';
import {PlannedStop} from '../src/contracts/planned_stop.js';
import {EntryOwnership} from '../src/entry/entry_ownership.js';
import {OwnedShard, ShardOwner} from '../src/ownership/ownership_view.js';
import {VmEntry} from '../src/platform/platform_service.js';

/** Ownership of shards that a test sets; its views share the same state. */
export class StaticOwnership {
  private readonly owners = new Map<string, ShardOwner>();
  private readonly listeners = new Set<() => void>();

  /** Makes a member the owner of a shard and notifies all listeners. */
  assign(shard: string, member: string, epoch: number): void {
    this.owners.set(shard, {member, incarnation: '1', epoch});
    for (const listener of [...this.listeners]) listener();
  }

  /** Creates the view of a member. */
  viewOf(member: string): StaticOwnershipView {
    return new StaticOwnershipView(member, this.owners, this.listeners);
  }
}

/**
 * A member's view of a {@link StaticOwnership}. It can be frozen to simulate a
 * paused member that misses changes.
 */
export class StaticOwnershipView implements EntryOwnership {
  /** Number of times the member was told that it is fenced. */
  fencedCount = 0;
  /** Number of hand-overs that were requested. */
  handOverCount = 0;
  private frozenOwners: Map<string, ShardOwner> | undefined;

  constructor(
    private readonly member: string,
    private readonly current: ReadonlyMap<string, ShardOwner>,
    private readonly listeners: Set<() => void>,
  ) {}

  /** Hides all further changes from the member until it is fenced. */
  freeze(): void {
    this.frozenOwners = new Map(this.current);
  }

  ownedShards(): readonly OwnedShard[] {
    return [...this.owners()]
      .filter(([, owner]) => owner.member === this.member)
      .map(([shard, {epoch}]) => ({shard, epoch}));
  }

  ownerOf(shard: string): ShardOwner | undefined {
    return this.owners().get(shard);
  }

  liveMembers(): readonly string[] {
    return [
      ...new Set([...this.owners().values()].map((owner) => owner.member)),
    ];
  }

  confirm(owned: OwnedShard): Promise<boolean> {
    return Promise.resolve(
      this.ownedShards().some(({epoch}) => epoch === owned.epoch),
    );
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  reloadAfterFencing(): Promise<void> {
    this.fencedCount += 1;
    this.frozenOwners = undefined;
    for (const listener of [...this.listeners]) listener();
    return Promise.resolve();
  }

  handOver(): Promise<boolean> {
    this.handOverCount += 1;
    return Promise.resolve(true);
  }

  private owners(): ReadonlyMap<string, ShardOwner> {
    return this.frozenOwners ?? this.current;
  }
}

/** Configuration with one contract; the key of each caller is its name. */
export class StaticConfiguration implements ConfigurationView {
  readonly revision = 1;
  /** Planned stops by name; tests may add to it. */
  readonly stops = new Map<string, PlannedStop>();
  /** The contract of the single customer. */
  readonly onlyContract: Contract;

  constructor(callers: readonly string[] = ['alice', 'bob']) {
    this.onlyContract = contractSchema.parse({
      customer: 'association',
      services: ['portal'],
      callers: callers.map((name) => ({name, keyHash: hashKey(name)})),
    });
  }

  ageMs(): number {
    return 0;
  }

  contract(customer: string): Contract | undefined {
    return customer === this.onlyContract.customer
      ? this.onlyContract
      : undefined;
  }

  latestContract(customer: string): Contract | undefined {
    return this.contract(customer);
  }

  contracts(): Iterable<Contract> {
    return [this.onlyContract];
  }

  authenticate(key: string): AuthenticatedCaller | undefined {
    const hash = hashKey(key);
    const caller = this.onlyContract.callers.find(
      ({keyHash}) => keyHash === hash,
    );
    return caller && {contract: this.onlyContract, caller: caller.name};
  }

  plannedStop(name: string): PlannedStop | undefined {
    return this.stops.get(name);
  }

  onChange(): () => void {
    return () => undefined;
  }
}

/** Inventory whose VM list a test sets. */
export class StaticInventory {
  private readonly listeners = new Set<() => void>();

  constructor(private vms: VmEntry[]) {}

  list(): VmEntry[] {
    return this.vms;
  }

  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Replaces the VM list and notifies all listeners. */
  set(vms: VmEntry[]): void {
    this.vms = vms;
    for (const listener of this.listeners) listener();
  }
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
