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

/** Ownership that a test sets; shared by several members. */
export class StaticOwnership {
  private readonly owners = new Map<string, ShardOwner>();
  private readonly listeners = new Set<() => void>();

  /** Gives a shard to a member. */
  assign(shard: string, member: string, epoch: number): void {
    this.owners.set(shard, {member, incarnation: '1', epoch});
    for (const listener of [...this.listeners]) listener();
  }

  /** What a member sees; its changes can be held back, as in a pause. */
  viewOf(member: string): StaticOwnershipView {
    return new StaticOwnershipView(member, this.owners, this.listeners);
  }
}

/** A member's view of a {@link StaticOwnership}. */
export class StaticOwnershipView implements EntryOwnership {
  fencedCount = 0;
  handOverCount = 0;
  private frozenOwners: Map<string, ShardOwner> | undefined;

  constructor(
    private readonly member: string,
    private readonly current: ReadonlyMap<string, ShardOwner>,
    private readonly listeners: Set<() => void>,
  ) {}

  /** From now on the member sees no changes until it was fenced. */
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

  livingMembers(): readonly string[] {
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

  noteFenced(): Promise<void> {
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

/** Configuration with one customer whose callers' keys are their names. */
export class StaticConfiguration implements ConfigurationView {
  readonly revision = 1;
  readonly stops = new Map<string, PlannedStop>();
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

/** VM list that a test sets. */
export class StaticInventory {
  private readonly listeners = new Set<() => void>();

  constructor(private vms: VmEntry[]) {}

  list(): VmEntry[] {
    return this.vms;
  }

  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Replaces the list. */
  set(vms: VmEntry[]): void {
    this.vms = vms;
    for (const listener of this.listeners) listener();
  }
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
