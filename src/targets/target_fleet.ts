import {Clock} from '../clock/clock.js';
import {ConfigurationView} from '../contracts/configuration_view.js';
import {OwnershipView} from '../ownership/ownership_view.js';
import {Inventory} from '../platform/inventory.js';
import {VmEntry, VmKind} from '../platform/platform_service.js';
import {TargetLoad} from '../routing/routing_policy.js';
import {OwnedTarget} from './owned_target.js';
import {
  ResponseSink,
  TargetClient,
  TargetRequest,
  TargetResult,
} from './target_client.js';

/** Options of {@link TargetFleet}. */
export interface TargetFleetOptions {
  inventory: Pick<Inventory, 'list' | 'onChange'>;
  ownership: OwnershipView;
  configuration: Pick<ConfigurationView, 'plannedStop' | 'onChange'>;
  clock: Clock;
  /** Creates the client of a target. */
  createClient: (vm: VmEntry) => TargetClient;
  /** Called after each change that may allow a request to start. */
  onChange: () => void;
  /** Called when a target has refused the epoch of this process. */
  onFenced: () => void;
  /** Time between probes in ms. @default 1000 */
  probeIntervalMs?: number;
}

/** A slot of an owned target that was acquired for one request. */
export interface SlotLease {
  readonly target: string;
  readonly epoch: number;
  /** Sends the request and releases the slot once the request has ended. */
  send(request: TargetRequest, sink: ResponseSink): Promise<TargetResult>;
  /** Releases the slot unused. */
  release(): void;
}

/** The targets of a data centre, and the slots of those that are owned here. */
export class TargetFleet {
  private readonly owned = new Map<string, OwnedTarget>();
  private isStopped = false;

  constructor(private readonly options: TargetFleetOptions) {
    options.inventory.onChange(() => this.refresh());
    options.ownership.onChange(() => this.refresh());
    options.configuration.onChange(() => options.onChange());
    this.refresh();
  }

  /** Returns whether the VM list contains a target of the service. */
  hasTargets(service: string): boolean {
    return this.targetsOf(service).length > 0;
  }

  /** Returns the members that own targets of the service. */
  ownersOf(service: string): Set<string> {
    const owners = new Set<string>();
    for (const vm of this.targetsOf(service)) {
      const owner = this.options.ownership.ownerOf(vm.shard);
      if (owner) owners.add(owner.member);
    }
    return owners;
  }

  /**
   * Returns the loads of the owned targets of the service whose status was
   * read, including those without a free slot. Targets in state "unread" are
   * omitted: routing would treat them as unavailable and apply a slow start.
   */
  loads(service: string): TargetLoad[] {
    const loads: TargetLoad[] = [];
    for (const target of this.owned.values()) {
      const isOther = target.vm.service !== service;
      if (isOther || target.state === 'unread') continue;
      const load = target.load();
      if (!this.acceptsWork(target.vm)) load.isAvailable = false;
      loads.push(load);
    }
    return loads;
  }

  /** Returns the number of free slots of owned targets by service. */
  freeSlots(): Record<string, number> {
    const free: Record<string, number> = {};
    for (const target of this.owned.values()) {
      const {service} = target.vm;
      if (service === undefined) continue;
      const load = target.load();
      const isFree = load.isAvailable && this.acceptsWork(target.vm);
      free[service] =
        (free[service] ?? 0) + (isFree ? load.slots - load.inUse : 0);
    }
    return free;
  }

  /** Returns the state of each owned target, for operators. */
  states(): Array<TargetLoad & {state: string; shard: string; epoch: number}> {
    return [...this.owned.values()].map((target) => ({
      ...target.load(),
      state: target.state,
      shard: target.vm.shard,
      epoch: target.epoch,
    }));
  }

  /**
   * Acquires a slot of a target that {@link loads} shows as available; returns
   * undefined if it no longer is.
   */
  acquireSlot(targetName: string, requestId: string): SlotLease | undefined {
    const target = this.owned.get(targetName);
    if (!target?.load().isAvailable) return undefined;
    target.acquireSlot(requestId);
    return {
      target: targetName,
      epoch: target.epoch,
      send: (request, sink) => target.send(requestId, request, sink),
      release: () => target.releaseSlot(requestId),
    };
  }

  /** Stops all targets; connections close once their requests have ended. */
  stop(): void {
    this.isStopped = true;
    for (const target of this.owned.values()) target.retire();
    this.owned.clear();
  }

  private targetsOf(service: string): VmEntry[] {
    return this.options.inventory
      .list()
      .filter((vm) => vm.kind === VmKind.TARGET && vm.service === service);
  }

  private acceptsWork(vm: VmEntry): boolean {
    if (vm.state === 'leaving') return false;
    const stop = this.options.configuration.plannedStop(vm.vm);
    return !stop || this.options.clock.wallMs() < stop.fromWallMs;
  }

  private refresh(): void {
    if (this.isStopped) return;
    const {inventory, ownership} = this.options;
    const epochs = new Map(
      ownership.ownedShards().map(({shard, epoch}) => [shard, epoch]),
    );
    const wanted = new Map<string, VmEntry>();
    for (const vm of inventory.list()) {
      const isOwned = vm.kind === VmKind.TARGET && epochs.has(vm.shard);
      if (isOwned) wanted.set(vm.vm, vm);
    }
    for (const [name, target] of this.owned) {
      const vm = wanted.get(name);
      if (vm && isSameTarget(target, vm, epochs.get(vm.shard))) {
        target.vm.state = vm.state;
        wanted.delete(name);
      } else {
        this.owned.delete(name);
        target.retire();
      }
    }
    for (const vm of wanted.values()) this.add(vm, epochs.get(vm.shard)!);
    this.options.onChange();
  }

  private add(vm: VmEntry, epoch: number): void {
    const {clock, createClient, onChange, onFenced} = this.options;
    const target = new OwnedTarget({
      vm: {...vm},
      epoch,
      client: createClient(vm),
      clock,
      onChange,
      onFenced,
      probeIntervalMs: this.options.probeIntervalMs,
    });
    this.owned.set(vm.vm, target);
    target.start();
  }
}

function isSameTarget(
  target: OwnedTarget,
  vm: VmEntry,
  epoch: number | undefined,
): boolean {
  const known = target.vm;
  return (
    target.epoch === epoch &&
    known.host === vm.host &&
    known.port === vm.port &&
    known.shard === vm.shard &&
    known.service === vm.service
  );
}
