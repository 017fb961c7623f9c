import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {ConfigurationView} from '../contracts/configuration_view.js';
import {WriteRateLimiter} from '../jobs/write_rate_limiter.js';
import {SlowdownModel} from '../interference/slowdown_model.js';
import {PeerNetwork} from '../links/peer_network.js';
import {DecisionLog} from '../logging/decision_log.js';
import {OwnedShard, OwnershipView} from '../ownership/ownership_view.js';
import {PlacementPolicy} from '../placement/placement_policy.js';
import {WorkerHealth} from '../placement/worker_health.js';
import {Inventory} from '../platform/inventory.js';
import {
  PlatformService,
  VmEntry,
  VmKind,
} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {WorkerClient} from '../workers/worker_client.js';
import {CustomerLimits} from './customer_limits.js';
import {JobDesk} from './job_desk.js';
import {PlatformGate} from './platform_gate.js';
import {SchedulerSettings} from './scheduler_settings.js';
import {ShardController} from './shard_controller.js';
import {ShardDriver} from './shard_driver.js';

/** Ownership as the scheduler uses it. */
export interface SchedulerOwnership extends OwnershipView {
  /** Reads the record at once, after a worker refused an epoch. */
  noteFenced(): Promise<void>;
  /** Shards that the record names, also those without workers. */
  recordedShards(): readonly string[];
  /** Hands all shards over; true if the record without them was written. */
  handOver(): Promise<boolean>;
}

/** Parts that a scheduler process works with. */
export interface SchedulerParts {
  settings: SchedulerSettings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  network: PeerNetwork;
  platform: PlatformService;
  inventory: Inventory;
  ownership: SchedulerOwnership;
  configuration: ConfigurationView;
  /** Creates the placement policy of one shard. */
  createPlacement: () => PlacementPolicy;
  /** Learns how tasks slow each other down. */
  slowdowns: SlowdownModel;
  clientOf: (vm: VmEntry) => WorkerClient;
}

/** Load of schedulers, sent in heartbeats. */
export interface SchedulerLoad {
  /** Free processors by owned shard. */
  freeProcessors: Record<string, number>;
}

const IDLE_CHECK_MS = 20;

/** Owns shards of workers, accepts jobs and runs their tasks. */
export class SchedulerProcess {
  readonly decisions: DecisionLog;
  readonly desk: JobDesk;
  private readonly drivers = new Map<string, ShardDriver>();
  private readonly placements = new Map<string, PlacementPolicy>();
  private readonly peerFree = new Map<string, number>();
  private readonly gate: PlatformGate;
  private readonly budget: WriteRateLimiter;
  private isStopping = false;

  constructor(private readonly parts: SchedulerParts) {
    const {settings, clock, random, ownership} = parts;
    this.decisions = new DecisionLog(parts.logger);
    this.gate = new PlatformGate(clock, random);
    this.budget = new WriteRateLimiter({
      writesPerSecond: settings.scheduler.pageWritesPerSecond,
    });
    this.desk = new JobDesk({
      network: parts.network,
      ownership,
      shards: () => this.knownShards(),
      driverOf: (shard) => this.drivers.get(shard),
      freeOf: (shard) => this.freeOf(shard),
      isStopping: () => this.isStopping,
      clock,
    });
    ownership.onChange(() => this.followOwnership());
    this.followOwnership();
  }

  /** What heartbeats tell the other schedulers. */
  load(): SchedulerLoad {
    const freeProcessors: Record<string, number> = {};
    for (const shard of this.drivers.keys()) {
      freeProcessors[shard] = this.freeOf(shard);
    }
    return {freeProcessors};
  }

  /** Takes the load of another scheduler. */
  noteLoad(load: Partial<SchedulerLoad> | undefined): void {
    for (const [shard, free] of Object.entries(load?.freeProcessors ?? {})) {
      this.peerFree.set(shard, free);
    }
  }

  /**
   * Stops gracefully: attached work ends, then all shards are handed over;
   * tasks keep running on their leases.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {settings, ownership, logger, clock} = this.parts;
    const deadlineMs = clock.nowMs() + settings.scheduler.stopAttachedMs;
    while (this.openRequests() > 0 && clock.nowMs() < deadlineMs) {
      await sleep(IDLE_CHECK_MS);
    }
    const wasHandedOver = await ownership.handOver().catch(() => false);
    logger.info({wasHandedOver}, 'stopping: ownership handed over');
    for (const driver of this.drivers.values()) driver.stop();
    this.drivers.clear();
  }

  private openRequests(): number {
    let count = 0;
    for (const driver of this.drivers.values()) count += driver.openRequests;
    return count;
  }

  private knownShards(): string[] {
    const workers = this.parts.inventory
      .list()
      .filter(({kind}) => kind === VmKind.WORKER);
    const listed = workers.map(({shard}) => shard);
    return [...new Set([...listed, ...this.parts.ownership.recordedShards()])];
  }

  private freeOf(shard: string): number {
    const placement = this.placements.get(shard);
    return placement?.freeTotals().processors ?? this.peerFree.get(shard) ?? 0;
  }

  private followOwnership(): void {
    const {ownership, settings} = this.parts;
    const living = Math.max(1, ownership.livingMembers().length);
    this.budget.setRate(settings.scheduler.pageWritesPerSecond / living);
    const owned = new Map(
      ownership.ownedShards().map((one) => [one.shard, one.epoch]),
    );
    for (const [shard, driver] of [...this.drivers]) {
      if (owned.get(shard) !== driver.owned.epoch) this.drop(shard);
    }
    if (this.isStopping) return;
    for (const [shard, epoch] of owned) {
      if (!this.drivers.has(shard)) this.gain({shard, epoch});
    }
  }

  private gain(owned: OwnedShard): void {
    const {parts} = this;
    const {settings, clock, random, logger, configuration} = parts;
    logger.info(owned, 'shard gained');
    const placement = parts.createPlacement();
    const controller = new ShardController({
      dataCentre: settings.dataCentre,
      ...owned,
      placement,
      budget: this.budget,
      random,
      wallMs: () => clock.wallMs(),
      shareOf: (customer) => configuration.contract(customer)?.share ?? 1,
      limitsOf: (customer) => this.limitsOf(customer),
      health: new WorkerHealth(clock),
    });
    const driver = new ShardDriver({
      ...parts,
      owned,
      controller,
      gate: this.gate,
      decisions: this.decisions,
      isStopPlanned: (vm) =>
        (configuration.plannedStop(vm)?.fromWallMs ?? Infinity) <=
        clock.wallMs(),
      tickMs: settings.scheduler.tickMs,
      onSuperseded: () => this.onSuperseded(owned),
    });
    this.placements.set(owned.shard, placement);
    this.drivers.set(owned.shard, driver);
    driver.start();
  }

  /** A data centre's limits are divided evenly among its shards. */
  private limitsOf(customer: string): CustomerLimits | undefined {
    const contract = this.parts.configuration.contract(customer);
    if (!contract) return undefined;
    const shards = Math.max(1, this.knownShards().length);
    const {vmShare, quota, urgencies} = contract;
    return {
      vmShare,
      runningTasks: Math.ceil(quota.runningTasks / shards),
      accelerators: Math.ceil(quota.accelerators / shards),
      maxWaiting: {
        urgent: Math.ceil(urgencies.urgent.maxWaiting / shards),
        standard: Math.ceil(urgencies.standard.maxWaiting / shards),
        batch: Math.ceil(urgencies.batch.maxWaiting / shards),
      },
    };
  }

  private drop(shard: string): void {
    this.parts.logger.info({shard}, 'shard dropped');
    this.drivers.get(shard)?.stop();
    this.drivers.delete(shard);
    this.placements.delete(shard);
  }

  private onSuperseded(owned: OwnedShard): void {
    const driver = this.drivers.get(owned.shard);
    if (driver?.owned.epoch === owned.epoch) this.drop(owned.shard);
    void this.parts.ownership.noteFenced().then(() => this.followOwnership());
  }
}
