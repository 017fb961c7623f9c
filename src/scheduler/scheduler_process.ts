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
import {contractLimits} from './contract_limits.js';
import {JobRequestHandler} from './job_request_handler.js';
import {PlatformBackoff} from './platform_backoff.js';
import {SchedulerSettings} from './scheduler_settings.js';
import {ShardController} from './shard_controller.js';
import {ShardDriver} from './shard_driver.js';

/** Shard ownership as required by the scheduler. */
export interface SchedulerOwnership extends OwnershipView {
  /** Reloads the ownership record, after a worker refused an epoch. */
  reloadAfterFencing(): Promise<void>;
  /** All shards in the ownership record, including those without workers. */
  recordedShards(): readonly string[];
  /** Reassigns all shards of this process; resolves to whether it owns none. */
  handOver(): Promise<boolean>;
}

/** Options of {@link SchedulerProcess}. */
export interface SchedulerProcessOptions {
  settings: SchedulerSettings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  network: PeerNetwork;
  platform: PlatformService;
  inventory: Inventory;
  ownership: SchedulerOwnership;
  configuration: ConfigurationView;
  /** Creates an empty placement policy; called for each acquired shard. */
  createPlacement: () => PlacementPolicy;
  /** Model of the interference between tasks; shared by all shards. */
  slowdowns: SlowdownModel;
  /** Returns the client for the worker on a VM. */
  clientOf: (vm: VmEntry) => WorkerClient;
}

/** Load summary of a scheduler, sent in its heartbeats. */
export interface SchedulerLoad {
  /** Number of free processors of each owned shard. */
  freeProcessors: Record<string, number>;
}

/** Interval in ms at which a stop checks for open requests. */
const DRAIN_POLL_MS = 20;

/**
 * A scheduler: runs a {@link ShardDriver} for each shard that it owns, and
 * handles the requests about jobs.
 */
export class SchedulerProcess {
  readonly decisions: DecisionLog;
  readonly requestHandler: JobRequestHandler;
  private readonly drivers = new Map<string, ShardDriver>();
  private readonly placements = new Map<string, PlacementPolicy>();
  private readonly peerFreeProcessors = new Map<string, number>();
  private readonly platformBackoff: PlatformBackoff;
  private readonly writeBudget: WriteRateLimiter;
  private isStopping = false;

  constructor(private readonly options: SchedulerProcessOptions) {
    const {settings, clock, random, ownership} = options;
    this.decisions = new DecisionLog(options.logger);
    this.platformBackoff = new PlatformBackoff(clock, random);
    this.writeBudget = new WriteRateLimiter({
      writesPerSecond: settings.scheduler.pageWritesPerSecond,
    });
    this.requestHandler = new JobRequestHandler({
      network: options.network,
      ownership,
      shards: () => this.knownShards(),
      driverOf: (shard) => this.drivers.get(shard),
      freeProcessorsOf: (shard) => this.freeProcessorsOf(shard),
      isStopping: () => this.isStopping,
      clock,
    });
    ownership.onChange(() => this.reconcileShards());
    this.reconcileShards();
  }

  /** Load summary for the heartbeats to the other schedulers. */
  load(): SchedulerLoad {
    const freeProcessors: Record<string, number> = {};
    for (const shard of this.drivers.keys()) {
      freeProcessors[shard] = this.freeProcessorsOf(shard);
    }
    return {freeProcessors};
  }

  /** Records the load summary of another scheduler. */
  recordPeerLoad(load: Partial<SchedulerLoad> | undefined): void {
    for (const [shard, free] of Object.entries(load?.freeProcessors ?? {})) {
      this.peerFreeProcessors.set(shard, free);
    }
  }

  /**
   * Stops gracefully: waits for open requests up to the configured limit, then
   * hands over all shards. Tasks keep running under their leases.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {settings, ownership, logger, clock} = this.options;
    const deadlineMs = clock.nowMs() + settings.scheduler.stopAttachedMs;
    while (this.openRequests() > 0 && clock.nowMs() < deadlineMs) {
      await sleep(DRAIN_POLL_MS);
    }
    const wasHandedOver = await ownership.handOver().catch(() => false);
    logger.info({wasHandedOver}, 'shutting down: ownership hand-over finished');
    for (const driver of this.drivers.values()) driver.stop();
    this.drivers.clear();
  }

  private openRequests(): number {
    let count = 0;
    for (const driver of this.drivers.values()) count += driver.openRequests;
    return count;
  }

  private knownShards(): string[] {
    const workers = this.options.inventory
      .list()
      .filter(({kind}) => kind === VmKind.WORKER);
    const listed = workers.map(({shard}) => shard);
    return [
      ...new Set([...listed, ...this.options.ownership.recordedShards()]),
    ];
  }

  private freeProcessorsOf(shard: string): number {
    const placement = this.placements.get(shard);
    return (
      placement?.freeTotals().processors ??
      this.peerFreeProcessors.get(shard) ??
      0
    );
  }

  private reconcileShards(): void {
    const {ownership, settings} = this.options;
    const liveCount = Math.max(1, ownership.liveMembers().length);
    this.writeBudget.setRate(
      settings.scheduler.pageWritesPerSecond / liveCount,
    );
    const owned = new Map(
      ownership.ownedShards().map((one) => [one.shard, one.epoch]),
    );
    for (const [shard, driver] of [...this.drivers]) {
      if (owned.get(shard) !== driver.owned.epoch) this.releaseShard(shard);
    }
    if (this.isStopping) return;
    for (const [shard, epoch] of owned) {
      if (!this.drivers.has(shard)) this.acquireShard({shard, epoch});
    }
  }

  private acquireShard(owned: OwnedShard): void {
    const {options} = this;
    const {settings, clock, random, logger, configuration} = options;
    logger.info(owned, 'acquired shard');
    const placement = options.createPlacement();
    const controller = new ShardController({
      dataCentre: settings.dataCentre,
      ...owned,
      placement,
      budget: this.writeBudget,
      random,
      wallMs: () => clock.wallMs(),
      shareOf: (customer) => configuration.latestContract(customer)?.share ?? 1,
      limitsOf: (customer) =>
        contractLimits(configuration, customer, this.knownShards().length),
      health: new WorkerHealth(clock),
    });
    const driver = new ShardDriver({
      ...options,
      owned,
      controller,
      platformBackoff: this.platformBackoff,
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

  private releaseShard(shard: string): void {
    this.options.logger.info({shard}, 'released shard');
    this.drivers.get(shard)?.stop();
    this.drivers.delete(shard);
    this.placements.delete(shard);
  }

  private onSuperseded(owned: OwnedShard): void {
    const driver = this.drivers.get(owned.shard);
    if (driver?.owned.epoch === owned.epoch) this.releaseShard(owned.shard);
    void this.options.ownership
      .reloadAfterFencing()
      .then(() => this.reconcileShards());
  }
}
