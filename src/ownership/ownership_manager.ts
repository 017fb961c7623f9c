import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Membership} from '../membership/membership.js';
import {LivePeer} from '../membership/peer_table.js';
import {PlatformService} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {assignShards} from './assign_shards.js';
import {PlatformLiveness} from './platform_liveness.js';
import {
  EMPTY_OWNERSHIP,
  OwnershipRecord,
  ownershipRecordSchema,
} from './ownership_record.js';
import {OwnedShard, OwnershipView, ShardOwner} from './ownership_view.js';

/** Options of {@link OwnershipManager}. */
export interface OwnershipManagerOptions {
  platform: PlatformService;
  membership: Membership;
  network: PeerNetwork;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Shards of this role and data centre, as derived from the VM list. */
  shards: () => readonly string[];
  /** Minimum uptime in ms before a member is assigned shards. @default 3000 */
  joinAfterMs?: number;
}

/** Ownership record with its platform revision, as members exchange it. */
interface OwnershipUpdate {
  record: OwnershipRecord;
  revision: number;
}

const RECORD_MESSAGE = 'ownership';
const RECORD_REQUEST = 'ownershipRecord';
const RECORD_REQUEST_TIMEOUT_MS = 500;

// Members are ranked by name. Each waits this long per member that ranks before
// it, so that it writes the record only if none of those has done so, for
// example because they cannot reach the platform.
const RANK_DELAY_MS = 1000;

const RETRY_MIN_MS = 500;
const RETRY_JITTER_MS = 1500;

/**
 * Manages the ownership record of one role in one data centre. Follows changes
 * of the record, reassigns the shards of failed members, and writes the record
 * by compare-and-swap.
 */
export class OwnershipManager implements OwnershipView {
  private record: OwnershipRecord = EMPTY_OWNERSHIP;
  private recordRevision = 0;
  private isLoaded = false;
  private isReconciling = false;
  private dueSinceMs: number | undefined;
  private retryAtMs = 0;
  private readonly key: string;
  private readonly liveness: PlatformLiveness;
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: OwnershipManagerOptions) {
    const {network, membership, platform, clock} = options;
    const {dataCentre, role} = network.identity;
    this.key = `ownership/${dataCentre}/${role}`;
    this.liveness = new PlatformLiveness({
      platform,
      clock,
      keyPrefix: `liveness/${dataCentre}/${role}/`,
      self: membership.self,
    });
    network.onMessage(RECORD_MESSAGE, (body) =>
      this.applyUpdate(body as OwnershipUpdate),
    );
    network.onRequest(RECORD_REQUEST, () =>
      Promise.resolve(this.currentUpdate()),
    );
    membership.onHeartbeat((heartbeat, from) => {
      const isPeer =
        from.role === role &&
        membership.table.latest(heartbeat.member) !== undefined;
      if (isPeer && heartbeat.ownershipRevision > this.recordRevision) {
        void this.fetchRecordFrom(heartbeat.member);
      }
    });
    membership.onTick(() => {
      // Not part of reconcile(), which would delay it while verifying suspects.
      void this.announceLiveness();
      void this.reconcile();
    });
  }

  /** Platform revision of the latest known record; 0 before the first. */
  get revision(): number {
    return this.recordRevision;
  }

  ownedShards(): readonly OwnedShard[] {
    const {member, incarnation} = this.options.network.identity;
    return Object.entries(this.record.shards)
      .filter(
        ([, owner]) =>
          owner.member === member && owner.incarnation === incarnation,
      )
      .map(([shard, owner]) => ({shard, epoch: owner.epoch}));
  }

  /** All shards in the latest known record. */
  recordedShards(): string[] {
    return Object.keys(this.record.shards);
  }

  ownerOf(shard: string): ShardOwner | undefined {
    return this.record.shards[shard];
  }

  liveMembers(): readonly string[] {
    return this.options.membership.liveMembers().map((peer) => peer.member);
  }

  async confirm(owned: OwnedShard): Promise<boolean> {
    await this.loadRecord();
    return this.ownedShards().some(
      (current) =>
        current.shard === owned.shard && current.epoch === owned.epoch,
    );
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Reloads the record, after a worker or target refused an epoch. A failed
   * read is ignored, since newer records are also fetched from peers.
   */
  async reloadAfterFencing(): Promise<void> {
    await this.loadRecord().catch(() => undefined);
  }

  /**
   * Announces that this member is leaving and reassigns all its shards, as part
   * of a planned stop. Attempts the write up to three times.
   *
   * @returns Whether this member owns no shards any more.
   */
  async handOver(): Promise<boolean> {
    this.options.membership.leave();
    for (let attempt = 0; attempt < 3; attempt++) {
      if (this.ownedShards().length === 0) return true;
      const next = this.computeNextRecord();
      if (!next) return false;
      await this.writeRecord(next).catch(() => undefined);
    }
    return this.ownedShards().length === 0;
  }

  /** Loads the record if necessary and replaces failed owners. */
  private async reconcile(): Promise<void> {
    if (this.isReconciling) return;
    this.isReconciling = true;
    try {
      if (this.options.clock.nowMs() < this.retryAtMs) return;
      if (!this.isLoaded) await this.loadRecord();
      await this.replaceOwners();
    } catch (error) {
      this.retryAtMs =
        this.options.clock.nowMs() +
        RETRY_MIN_MS +
        RETRY_JITTER_MS * this.options.random.next();
      this.options.logger.warn(
        {error: (error as Error).message},
        'failed to read or write the ownership record; will retry',
      );
    } finally {
      this.isReconciling = false;
    }
  }

  private async announceLiveness(): Promise<void> {
    const {membership, clock} = this.options;
    const owners = Object.values(this.record.shards).map(
      (owner) => owner.member,
    );
    const isMissed = membership.table.hasLostContact(owners, clock.nowMs());
    if (isMissed) await this.liveness.announce();
  }

  private async replaceOwners(): Promise<void> {
    const {membership, clock} = this.options;
    if (membership.table.isAwaitingPeers(clock.nowMs())) return;
    if (!this.computeNextRecord()) {
      this.dueSinceMs = undefined;
      return;
    }
    this.dueSinceMs ??= clock.nowMs();
    if (clock.nowMs() - this.dueSinceMs < this.rank() * RANK_DELAY_MS) return;
    await this.verifySuspects();
    const next = this.computeNextRecord();
    if (next) await this.writeRecord(next);
  }

  private rank(): number {
    const {membership} = this.options;
    const staying = membership.liveMembers().filter((peer) => !peer.isLeaving);
    return Math.max(
      0,
      staying.findIndex((peer) => peer.member === membership.self),
    );
  }

  private computeNextRecord(): OwnershipRecord | undefined {
    return assignShards({
      current: this.record,
      shards: this.options.shards(),
      liveMembers: this.liveOrProtectedMembers(),
      joinAfterMs: this.options.joinAfterMs,
    });
  }

  /** Live members, and owners whose liveness key shows that they are alive. */
  private liveOrProtectedMembers(): LivePeer[] {
    const live = this.options.membership.liveMembers();
    const names = new Set(live.map((peer) => peer.member));
    for (const {member, incarnation} of Object.values(this.record.shards)) {
      if (names.has(member) || !this.liveness.isProtected(member)) continue;
      names.add(member);
      live.push({
        member,
        incarnation,
        upMs: Number.MAX_SAFE_INTEGER,
        isLeaving: false,
      });
    }
    return live;
  }

  private async verifySuspects(): Promise<void> {
    const names = new Set(
      this.options.membership.liveMembers().map((peer) => peer.member),
    );
    const suspects = new Set(
      Object.values(this.record.shards)
        .map((owner) => owner.member)
        .filter((member) => !names.has(member)),
    );
    await Promise.all(
      [...suspects].map((member) => this.liveness.verify(member)),
    );
  }

  private async loadRecord(): Promise<void> {
    const entry = await this.options.platform.read(this.key);
    this.isLoaded = true;
    if (!entry) return;
    const record = ownershipRecordSchema.parse(JSON.parse(entry.value));
    this.applyUpdate({record, revision: entry.revision});
  }

  private async writeRecord(next: OwnershipRecord): Promise<void> {
    const value = JSON.stringify(next);
    const expectedRevision = this.recordRevision;
    try {
      const result = await this.options.platform.write({
        key: this.key,
        value,
        expectedRevision,
      });
      if (result.written) {
        this.applyUpdate({record: next, revision: result.revision});
      } else {
        await this.loadRecord();
      }
    } catch (error) {
      // The write may have taken effect; reading the record resolves that.
      await this.loadRecord();
      if (this.recordRevision === expectedRevision) throw error;
    }
    this.broadcastRecord();
  }

  private broadcastRecord(): void {
    const {membership, network, logger} = this.options;
    logger.info(
      {epoch: this.record.epoch, owned: this.ownedShards()},
      'ownership record changed',
    );
    const {role} = network.identity;
    for (const {member} of membership.liveMembers()) {
      if (member === membership.self) continue;
      network.send({role, member}, RECORD_MESSAGE, this.currentUpdate());
    }
  }

  private async fetchRecordFrom(member: string): Promise<void> {
    const {network} = this.options;
    const {role} = network.identity;
    try {
      const update = await network.request({role, member}, RECORD_REQUEST, {
        body: {},
        timeoutMs: RECORD_REQUEST_TIMEOUT_MS,
      });
      this.applyUpdate(update as OwnershipUpdate);
    } catch {
      // The next heartbeat of the member triggers another attempt.
    }
  }

  private currentUpdate(): OwnershipUpdate {
    return {record: this.record, revision: this.recordRevision};
  }

  private applyUpdate(update: OwnershipUpdate): void {
    if (update.revision <= this.recordRevision) return;
    this.record = update.record;
    this.recordRevision = update.revision;
    this.isLoaded = true;
    for (const listener of this.listeners) listener();
  }
}
