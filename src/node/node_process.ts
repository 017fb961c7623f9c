import {randomUUID} from 'node:crypto';

import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {EvacuatedDataCentre} from '../evacuation/evacuations_response.js';
import {OwnerElection} from '../leadership/owner_election.js';
import {OwnerRecord} from '../leadership/owner_record.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {LinkIdentity} from '../links/link_message.js';
import {NodeLog} from '../logging/node_log.js';
import {createJobOrder} from '../orchestrator/jobs/create_job_order.js';
import {OrchestratorRuntime} from '../orchestrator/orchestrator_runtime.js';
import {RandomSource} from '../random/random_source.js';
import {Configuration} from '../work/configuration.js';
import {CancelledJobs} from '../work/cancelled_jobs.js';
import {JobTable} from '../work/job_table.js';
import {groupProgress, StoredProgress} from '../work/stored_progress.js';
import {getRetentionMs} from './get_retention_ms.js';
import {JobGateway} from './job_gateway.js';
import {NodeMetrics} from './node_metrics.js';
import {NodeMirrors} from './node_mirrors.js';
import {createNodeServers, NodeServers} from './node_servers.js';
import {NodeSettings, splitAddress} from './node_settings.js';
import {OwnerLinkServer} from './owner_link_server.js';
import {OwnerLink} from './owner_link.js';
import {PlatformBinding} from './platform_binding.js';

/** Options of {@link NodeProcess}. */
export interface NodeProcessOptions {
  settings: NodeSettings;
  clock: Clock;
  log: NodeLog;
  random: RandomSource;
  platform: PlatformBinding;
}

const MS_PER_SECOND = 1000;

/** Fraction of the grace period after which client connections are drained. */
const DRAIN_START_FRACTION = 0.35;

/** Fraction of the grace period after which idle connections are closed. */
const CLOSE_START_FRACTION = 0.7;

/** Delay in ms before the initial load of a new owner is retried. */
const TAKEOVER_RETRY_MS = 150;

/**
 * A node of the scheduler. Every node serves the job API and mirrors the store;
 * the one that wins the election of its partition also places its tasks.
 */
export class NodeProcess {
  private readonly identity: LinkIdentity;
  private readonly ownerLink: OwnerLink;
  private readonly gateway: JobGateway;
  private readonly mirrors: NodeMirrors;
  private readonly election: OwnerElection;
  private readonly metrics: NodeMetrics;
  private readonly servers: NodeServers;
  private term: OwnerTerm | undefined;
  private runtime: OrchestratorRuntime | undefined;
  private isStopping = false;

  constructor(private readonly options: NodeProcessOptions) {
    const {settings, platform} = options;
    const keys = new PartitionKeys(settings.partition);
    const table = new JobTable(keys);
    const cancelledJobs = new CancelledJobs({...options, keys, table});
    this.identity = {
      member: settings.node,
      incarnation: randomUUID(),
      role: 'node',
      dataCentre: settings.dataCentre,
      processors: getProcessors(settings),
    };
    this.ownerLink = new OwnerLink({
      ...options,
      identity: this.identity,
      // Fetches changes at once, to notice the removal of the owner's key.
      onDisconnect: () => this.mirrors.jobs.skipBatchDelay(),
      onOwnerExited: () => void this.election.replaceDeadOwner(),
      onHandOver: (token) => {
        if (this.isStopping || !this.mirrors.isStoreResponding) return;
        void this.election.replaceOwner(token);
      },
    });
    this.mirrors = this.createMirrors(keys, table, cancelledJobs);
    this.gateway = new JobGateway({
      ...options,
      limits: settings.door,
      store: platform.store,
      keys,
      table,
      cancelledJobs,
      isStoreReachable: () => this.mirrors.isStoreReachable,
      owner: this.ownerLink,
      ownedJobs: () => this.runtime,
    });
    this.election = this.createElection(keys, table);
    this.metrics = new NodeMetrics(() => this.readGauges(table));
    this.servers = this.createServers();
  }

  /** Starts the mirrors, the election and the HTTP servers. */
  async start(): Promise<void> {
    const {settings, log} = this.options;
    this.mirrors.start();
    this.election.start();
    const {callers, readiness, metrics} = this.servers;
    await Promise.all([callers.listen(), readiness.listen(), metrics.listen()]);
    log.logDecision('start', {
      dataCentre: settings.dataCentre,
      partition: settings.partition,
    });
  }

  /**
   * Shuts down within the grace period: releases ownership, continues to serve
   * requests while client connections drain, then closes.
   */
  async stop(signal: string): Promise<void> {
    const {settings, log, platform} = this.options;
    const gracePeriodMs = settings.stop.gracePeriodSeconds * MS_PER_SECOND;
    this.isStopping = true;
    log.logDecision('stop-node', {signal, gracePeriodMs});
    await this.election.stop();
    await sleep(gracePeriodMs * DRAIN_START_FRACTION);
    this.servers.callers.startDraining();
    await sleep(gracePeriodMs * (CLOSE_START_FRACTION - DRAIN_START_FRACTION));
    await this.servers.callers.close();
    this.mirrors.stop();
    this.ownerLink.stop();
    await platform.close();
    log.logDecision('stopped', {signal});
  }

  private get isReady(): boolean {
    return (
      !this.isStopping &&
      this.gateway.configuration !== undefined &&
      this.mirrors.jobs.isLoaded &&
      (this.mirrors.isStoreReachable || this.ownerLink.isOpen)
    );
  }

  private createMirrors(
    keys: PartitionKeys,
    table: JobTable,
    cancelledJobs: CancelledJobs,
  ): NodeMirrors {
    return new NodeMirrors({
      ...this.options,
      keys,
      table,
      cancelledJobs,
      isOwner: () => this.term?.isOver === false,
      isLinked: () => this.ownerLink.isOpen,
      onConfiguration: (configuration) => this.configure(configuration),
      onEvacuations: () =>
        this.runtime?.setEvacuations(this.mirrors.evacuations.dataCentres),
      onWorker: (entry) => this.runtime?.upsertWorker(entry),
      onWorkerRemoved: (id) => this.runtime?.unregisterWorker(id),
      onOwnerKeyChange: (revision) =>
        this.election.handleOwnerKeyChange(revision),
      onOwner: (owner) => {
        this.ownerLink.setOwner(owner);
        if (!owner) void this.election.check();
      },
    });
  }

  private createElection(keys: PartitionKeys, table: JobTable): OwnerElection {
    const {settings, platform} = this.options;
    return new OwnerElection({
      ...this.options,
      store: platform.store,
      keys,
      createRecord: () => ({
        node: settings.node,
        ...splitAddress(settings.links),
        linkToken: randomUUID(),
      }),
      termLeaseMs: settings.owner.termLeaseMs,
      candidacyDelayMs: getElectionDelayMs(settings),
      isUnowned: () => !this.isStopping && this.mirrors.isUnowned,
      onElected: (term, owner) =>
        void this.takeOver({term, owner}, keys, table),
    });
  }

  private createServers(): NodeServers {
    const {gateway, metrics} = this;
    return createNodeServers({
      ...this.options,
      gateway,
      metrics,
      isReady: () => this.isReady,
      listEvacuations: () => this.listEvacuations(),
      ownerName: () => this.ownerLink.ownerName,
    });
  }

  private configure(configuration: Configuration): void {
    this.gateway.configure(configuration);
    this.runtime?.configure(configuration);
  }

  /**
   * Begins a term as owner. The store is read after the term has begun, so that
   * nothing that the previous owner committed is missed.
   */
  private async takeOver(
    ownership: {term: OwnerTerm; owner: OwnerRecord},
    keys: PartitionKeys,
    table: JobTable,
  ): Promise<void> {
    const {settings, platform} = this.options;
    const {term} = ownership;
    this.term = term;
    this.startLinkServer(ownership, table);
    const progress = await this.loadPartition(term, keys);
    if (!progress) return;
    this.runtime = new OrchestratorRuntime({
      ...this.options,
      ...createJobOrder(settings.scheduling.order),
      hasUrgentPasses: settings.scheduling.urgentPasses,
      looksAhead: settings.scheduling.lookAhead,
      adaptsStarts: settings.scheduling.adaptiveStarts,
      store: platform.store,
      port: platform.workers,
      advice: platform.advice,
      keys,
      table,
      term,
      registrationAgeMs: () => this.mirrors.registrationAgeMs,
      drainNoticeMs: settings.workers.drainNoticeMs,
      evacuationAgeMs: () => this.mirrors.evacuationAgeMs,
      evacuationNoticeMs: settings.operators.evacuationNoticeMs,
      countEvent: (event) => this.metrics.increment(event),
      longestLeaseMs: settings.workers.longestLeaseMs,
      keepFinishedMs: getRetentionMs(settings.jobs.keepFinishedSeconds),
    });
    term.onEnd(() => (this.runtime = undefined));
    this.runtime.start({
      configuration: this.gateway.configuration,
      workers: this.mirrors.workers.values(),
      evacuations: this.mirrors.evacuations.dataCentres,
      progress,
    });
  }

  /** Accepts links from other nodes until the term ends. */
  private startLinkServer(
    {term, owner}: {term: OwnerTerm; owner: OwnerRecord},
    table: JobTable,
  ): void {
    const {identity, gateway} = this;
    const linkServer = new OwnerLinkServer({
      ...this.options,
      identity,
      owner,
      table,
      gateway,
      ownedJobs: () => this.runtime,
    });
    linkServer.listen().catch((error: Error) => {
      this.options.log.logError('links-failed', error);
    });
    term.onEnd(() => void linkServer.stop());
    term.onRenewalStalled(() => linkServer.requestHandOver(term.token));
  }

  /**
   * Reloads the mirrors and reads the progress of all jobs, with retries until
   * it succeeds.
   *
   * @returns Stored progress by job id; undefined if the term ends before.
   */
  private async loadPartition(
    term: OwnerTerm,
    keys: PartitionKeys,
  ): Promise<ReadonlyMap<string, StoredProgress> | undefined> {
    const {platform, log} = this.options;
    while (!term.isOver) {
      try {
        const [progress] = await Promise.all([
          platform.store.list(keys.progressPrefix),
          this.mirrors.jobs.reload(),
          this.mirrors.loadRegistry(),
          this.mirrors.loadOperators(),
        ]);
        if (term.isOver) return undefined;
        return groupProgress(progress.items, keys);
      } catch (error) {
        const {message} = error as Error;
        log.logDecision('takeover-retry', {reason: message});
        await sleep(TAKEOVER_RETRY_MS);
      }
    }
    return undefined;
  }

  private listEvacuations(): EvacuatedDataCentre[] {
    const {requests} = this.mirrors.evacuations;
    return requests.map((evacuation) => ({
      ...evacuation,
      runningTasks: this.runtime?.countTasksIn(evacuation.dataCentre),
    }));
  }

  private readGauges(table: JobTable): Record<string, number> {
    return {
      owner: this.term?.isOver === false ? 1 : 0,
      jobs_known: table.entries.size,
      configuration_version: this.gateway.configuration?.version ?? 0,
      store_reachable: this.mirrors.isStoreReachable ? 1 : 0,
      resident_memory_bytes: process.memoryUsage.rss(),
      evacuated_data_centres: this.mirrors.evacuations.requests.length,
      ...this.readWaitGauges(),
    };
  }

  /** Returns what waits on the owner; on other nodes nothing does. */
  private readWaitGauges(): Record<string, number> {
    const waits = this.runtime?.waitSummary;
    return {
      idle_jobs: waits?.idleJobs ?? 0,
      idle_jobs_with_room: waits?.idleJobsWithRoom ?? 0,
      longest_idle_seconds: (waits?.longestIdleMs ?? 0) / MS_PER_SECOND,
    };
  }
}

/** Processing capacity of the VM, in cores of ordinary speed. */
function getProcessors({processor}: NodeSettings): number {
  return processor.share * processor.speed;
}

/**
 * Delay in ms before this node stands for election; positive on VMs with few
 * processors, so that nodes on larger VMs become owner first.
 */
function getElectionDelayMs(settings: NodeSettings): number {
  const {leastProcessors, patienceMs} = settings.owner;
  return getProcessors(settings) < leastProcessors ? patienceMs : 0;
}
