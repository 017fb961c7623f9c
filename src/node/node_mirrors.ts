import {Clock} from '../clock/clock.js';
import {EvacuationList} from '../evacuation/evacuation_list.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {decodeOwner, OwnerRecord} from '../leadership/owner_record.js';
import {NodeLog} from '../logging/node_log.js';
import {StoreChange} from '../store/metadata_store.js';
import {PrefixMirror} from '../store/prefix_mirror.js';
import {CancelledJobs} from '../work/cancelled_jobs.js';
import {Configuration} from '../work/configuration.js';
import {JobTable} from '../work/job_table.js';
import {WorkerRegistration} from '../work/worker_registration.js';
import {PlatformBinding} from './platform_binding.js';

/** Options of {@link NodeMirrors}. */
export interface NodeMirrorsOptions {
  platform: PlatformBinding;
  clock: Clock;
  log: NodeLog;
  keys: PartitionKeys;
  table: JobTable;
  cancelledJobs: CancelledJobs;
  /** Whether this node owns the partition. */
  isOwner: () => boolean;
  /** Whether this node has a link to the owner. */
  isLinked: () => boolean;
  /** Called with each configuration that can be decoded. */
  onConfiguration: (configuration: Configuration) => void;
  /** Called when an evacuation is requested or taken back. */
  onEvacuations: () => void;
  /** Called when a worker registers or changes its registration. */
  onWorker: (entry: WorkerRegistration) => void;
  /** Called when the registration of a worker is deleted. */
  onWorkerRemoved: (id: string) => void;
  /** Called with the store revision of each change of the owner key. */
  onOwnerKeyChange: (revision: number) => void;
  /** Called with each new owner, and with undefined when its key is deleted. */
  onOwner: (owner: OwnerRecord | undefined) => void;
}

/**
 * Delay in ms in which the owner batches changes from the store; other nodes
 * report submissions and cancellations earlier over their links.
 */
const OWNER_BATCH_DELAY_MS = 250;

/** Delay in ms in which nodes with a link to the owner batch job changes. */
const FOLLOWER_BATCH_DELAY_MS = 900;

/**
 * Batching delay in ms on nodes without a link to the owner; short, so that the
 * removal of the owner's key is noticed soon.
 */
const UNLINKED_BATCH_DELAY_MS = 60;

/** Time in ms without a response after which the store is unreachable. */
const STORE_UNREACHABLE_AFTER_MS = 2600;

/**
 * Local mirrors of the store prefixes that a node reads: the operators'
 * configuration, the jobs of its partition and the worker registrations.
 */
export class NodeMirrors {
  /** Registered workers by id. */
  readonly workers = new Map<string, WorkerRegistration>();
  /** Evacuations that operators have requested. */
  readonly evacuations = new EvacuationList();
  /** Mirror of the partition's keys. */
  readonly jobs: PrefixMirror;
  private readonly operators: PrefixMirror;
  private readonly registry: PrefixMirror;
  private hasOwner = false;
  private isRegistryStarted = false;

  constructor(private readonly options: NodeMirrorsOptions) {
    const {platform, clock, log, keys, isOwner, isLinked} = options;
    const common = {store: platform.store, clock, log};
    this.operators = new PrefixMirror({
      ...common,
      prefix: platform.operatorPrefix,
      onChange: (change) => this.applyOperator(change),
    });
    this.jobs = new PrefixMirror({
      ...common,
      prefix: keys.prefix,
      batchDelayMs: () => {
        if (isOwner()) return OWNER_BATCH_DELAY_MS;
        return isLinked() ? FOLLOWER_BATCH_DELAY_MS : UNLINKED_BATCH_DELAY_MS;
      },
      onChange: (change) => this.applyJob(change),
    });
    this.registry = new PrefixMirror({
      ...common,
      prefix: platform.workerPrefix,
      onChange: (change) => this.applyWorker(change),
    });
  }

  /** Starts to watch the configuration and the jobs of the partition. */
  start(): void {
    this.operators.start();
    this.jobs.start();
  }

  /** Reads all worker registrations, and watches them from then on. */
  async loadRegistry(): Promise<void> {
    await this.registry.reload();
    if (this.isRegistryStarted) return;
    this.isRegistryStarted = true;
    this.registry.start();
  }

  /** Reads what operators have requested, which a new owner has to know. */
  async loadOperators(): Promise<void> {
    await this.operators.reload();
  }

  /** Stops all watches. */
  stop(): void {
    for (const mirror of [this.operators, this.jobs, this.registry]) {
      mirror.stop();
    }
  }

  /** Whether the partition has no owner according to the mirrored keys. */
  get isUnowned(): boolean {
    return this.jobs.isLoaded && !this.hasOwner;
  }

  /** Whether the store has responded recently. */
  get isStoreReachable(): boolean {
    const {clock} = this.options;
    const lastMs = Math.max(
      this.operators.lastResponseMs,
      this.jobs.lastResponseMs,
    );
    return clock.nowMs() - lastMs < STORE_UNREACHABLE_AFTER_MS;
  }

  /** Time in ms since the store told which workers are registered. */
  get registrationAgeMs(): number {
    return this.options.clock.nowMs() - this.registry.knownAsOfMs;
  }

  /** Time in ms since the store told which evacuations are requested. */
  get evacuationAgeMs(): number {
    return this.options.clock.nowMs() - this.operators.knownAsOfMs;
  }

  /** Whether the store responded to the latest requests of this node. */
  get isStoreResponding(): boolean {
    return this.operators.isResponding && this.jobs.isResponding;
  }

  private applyOperator(change: StoreChange): void {
    const {platform, log, onConfiguration} = this.options;
    if (change.key.startsWith(platform.evacuationPrefix)) {
      this.applyEvacuation(change);
      return;
    }
    if (change.key !== platform.configurationKey || !change.value) return;
    try {
      const configuration = platform.decodeConfiguration(change.value);
      log.logDecision('configuration', {
        version: configuration.version,
        revision: change.revision,
        queues: configuration.queues.length,
      });
      onConfiguration(configuration);
    } catch (error) {
      log.logError('configuration-unreadable', error as Error);
    }
  }

  private applyEvacuation({key, value, revision}: StoreChange): void {
    const {platform, clock, log, onEvacuations} = this.options;
    const dataCentre = key.slice(platform.evacuationPrefix.length);
    const isRequested = value !== undefined;
    log.logDecision('evacuation', {dataCentre, isRequested, revision});
    if (dataCentre === '') return;
    const knownSinceWallMs = clock.wallMs();
    if (isRequested) {
      this.evacuations.add({dataCentre, revision, knownSinceWallMs});
    } else {
      this.evacuations.remove(dataCentre);
    }
    onEvacuations();
  }

  private applyJob(change: StoreChange): void {
    const {keys, onOwner, onOwnerKeyChange} = this.options;
    if (change.key !== keys.owner) {
      this.applyJobRecord(change);
      return;
    }
    this.hasOwner = change.value !== undefined;
    onOwnerKeyChange(change.revision);
    onOwner(change.value && decodeOwner(change.value));
  }

  /** Applies a change of a job; a record that cannot be decoded is skipped. */
  private applyJobRecord(change: StoreChange): void {
    const {table, cancelledJobs} = this.options;
    try {
      if (!cancelledJobs.apply(change)) table.apply(change);
    } catch (error) {
      this.options.log.logError('job-record-unreadable', error as Error, {
        key: change.key,
      });
    }
  }

  /**
   * Applies a change of a registration. One that cannot be decoded registers no
   * worker, whatever it said before: nodes that read it now for the first time
   * do not know that.
   */
  private applyWorker(change: StoreChange): void {
    const {platform, log} = this.options;
    const id = change.key.slice(platform.workerPrefix.length);
    if (!change.value) {
      this.removeWorker(id);
      return;
    }
    let entry: WorkerRegistration;
    try {
      entry = platform.decodeWorker(id, change.value);
    } catch (error) {
      log.logDecision('worker-entry-unreadable', {
        worker: id,
        wasRegistered: this.workers.has(id),
        bytes: change.value.length,
        reason: (error as Error).message,
      });
      if (this.workers.has(id)) this.removeWorker(id);
      return;
    }
    this.workers.set(id, entry);
    this.options.onWorker(entry);
  }

  private removeWorker(id: string): void {
    this.workers.delete(id);
    this.options.onWorkerRemoved(id);
  }
}
