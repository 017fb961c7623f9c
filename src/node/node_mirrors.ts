import {Clock} from '../clock/clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {decodeOwner, OwnerRecord} from '../leadership/owner_record.js';
import {NodeLog} from '../logging/node_log.js';
import {StoreChange} from '../store/metadata_store.js';
import {PrefixMirror} from '../store/prefix_mirror.js';
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
  /** Tells whether this node owns the partition. */
  isOwner: () => boolean;
  /** Tells whether the owner tells this node of phases. */
  isLinked: () => boolean;
  onConfiguration: (configuration: Configuration) => void;
  onWorker: (entry: WorkerRegistration) => void;
  onWorkerRemoved: (id: string) => void;
  /** Called with each new owner, and with none when its key is gone. */
  onOwner: (owner: OwnerRecord | undefined) => void;
}

/** Pause in ms in which changes of jobs gather at the owner; links are faster. */
const OWNER_BATCH_DELAY_MS = 250;

/** Pause in ms in which changes of jobs gather at other nodes. */
const FOLLOWER_BATCH_DELAY_MS = 900;

/** The same without a link to the owner; its key may be removed any time. */
const UNLINKED_BATCH_DELAY_MS = 60;

/** Time in ms without an answer after which the store counts as away. */
const STORE_UNREACHABLE_AFTER_MS = 2600;

/** Local copies of what the store holds for a node. */
export class NodeMirrors {
  /** Workers by id, as registered. */
  readonly workers = new Map<string, WorkerRegistration>();
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

  /** Starts to follow the store. */
  start(): void {
    this.operators.start();
    this.jobs.start();
  }

  /** Reads the registry of workers, and follows it from then on. */
  async loadRegistry(): Promise<void> {
    await this.registry.reload();
    if (this.isRegistryStarted) return;
    this.isRegistryStarted = true;
    this.registry.start();
  }

  /** Stops. */
  stop(): void {
    for (const mirror of [this.operators, this.jobs, this.registry]) {
      mirror.stop();
    }
  }

  /** Tells whether nobody owns the partition, as far as is known. */
  get isVacant(): boolean {
    return this.jobs.isLoaded && !this.hasOwner;
  }

  /** Tells whether the store has answered lately. */
  get isStoreReachable(): boolean {
    const {clock} = this.options;
    const lastMs = Math.max(
      this.operators.lastResponseMs,
      this.jobs.lastResponseMs,
    );
    return clock.nowMs() - lastMs < STORE_UNREACHABLE_AFTER_MS;
  }

  /** Tells whether the store answered the latest call of this node. */
  get isStoreResponding(): boolean {
    return this.operators.isResponding && this.jobs.isResponding;
  }

  private applyOperator(change: StoreChange): void {
    const {platform, log, onConfiguration} = this.options;
    if (change.key !== platform.configurationKey || !change.value) return;
    try {
      const configuration = platform.decodeConfiguration(change.value);
      log.decide('configuration', {
        version: configuration.version,
        revision: change.revision,
        queues: configuration.queues.length,
      });
      onConfiguration(configuration);
    } catch (error) {
      log.fail('configuration-unreadable', error as Error);
    }
  }

  private applyJob(change: StoreChange): void {
    const {keys, table, onOwner} = this.options;
    if (change.key !== keys.owner) {
      table.apply(change);
      return;
    }
    this.hasOwner = change.value !== undefined;
    onOwner(change.value && decodeOwner(change.value));
  }

  private applyWorker(change: StoreChange): void {
    const {
      platform,
      log,
      onWorker,
      onWorkerRemoved: onWorkerGone,
    } = this.options;
    const id = change.key.slice(platform.workerPrefix.length);
    if (!change.value) {
      this.workers.delete(id);
      onWorkerGone(id);
      return;
    }
    try {
      const entry = platform.decodeWorker(id, change.value);
      this.workers.set(id, entry);
      onWorker(entry);
    } catch (error) {
      log.decide('worker-entry-unreadable', {
        worker: id,
        reason: (error as Error).message,
      });
    }
  }
}
