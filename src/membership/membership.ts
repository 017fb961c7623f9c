import {Clock} from '../clock/clock.js';
import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {LinkIdentity} from '../links/link_message.js';
import {Heartbeat} from './heartbeat.js';
import {LivePeer, PeerTable} from './peer_table.js';

/** Heartbeat fields that other modules provide. */
export interface HeartbeatContents {
  ownershipRevision: number;
  configurationRevision: number;
  load: unknown;
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  network: PeerNetwork;
  /** Other members of the same role and data centre. */
  peers: readonly PeerAddress[];
  /** Additional heartbeat receivers, for example schedulers. @default none */
  listeners?: readonly PeerAddress[];
  clock: Clock;
  /** Heartbeat interval in ms. @default 400 */
  heartbeatMs?: number;
  /** Time in ms without a heartbeat until a peer is suspected. @default 1200 */
  suspectAfterMs?: number;
  /** Called for each heartbeat to get the fields of other modules. */
  contents: () => HeartbeatContents;
}

/** Name of the message that carries a {@link Heartbeat}. */
export const HEARTBEAT_MESSAGE = 'heartbeat';

/** Called with a received heartbeat and the identity of its sender. */
export type HeartbeatListener = (
  heartbeat: Heartbeat,
  from: LinkIdentity,
) => void;

/**
 * Heartbeat-based failure detection among the members of one role in one data
 * centre. Sends heartbeats at a fixed interval until {@link Membership.stop}.
 */
export class Membership {
  readonly table: PeerTable;
  private readonly startMs: number;
  private readonly timer: NodeJS.Timeout;
  private readonly tickListeners = new Set<() => void>();
  private readonly heartbeatListeners = new Set<HeartbeatListener>();
  private sequence = 0;
  private isLeaving = false;

  constructor(private readonly options: MembershipOptions) {
    const {network, peers, clock} = options;
    this.startMs = clock.nowMs();
    this.table = new PeerTable({
      self: network.identity.member,
      peers: peers.map((peer) => peer.member),
      suspectAfterMs: options.suspectAfterMs,
      startMs: this.startMs,
    });
    network.onMessage(HEARTBEAT_MESSAGE, (body, from) =>
      this.receive(body as Heartbeat, from),
    );
    for (const peer of [...peers, ...(options.listeners ?? [])]) {
      network.connect(peer);
    }
    this.timer = setInterval(() => this.tick(), options.heartbeatMs ?? 400);
  }

  /** Name of this member. */
  get self(): string {
    return this.options.network.identity.member;
  }

  /** This member and all live peers, sorted by name. */
  liveMembers(): LivePeer[] {
    const {clock, network} = this.options;
    const nowMs = clock.nowMs();
    const own: LivePeer = {
      member: this.self,
      incarnation: network.identity.incarnation,
      upMs: nowMs - this.startMs,
      isLeaving: this.isLeaving,
    };
    return [...this.table.livePeers(nowMs), own].sort((a, b) =>
      a.member < b.member ? -1 : 1,
    );
  }

  /**
   * Announces immediately, not at the next interval, that this member is
   * shutting down and accepts no more shards.
   */
  leave(): void {
    this.isLeaving = true;
    this.sendHeartbeats();
  }

  /** Calls `listener` at each heartbeat interval, after sending heartbeats. */
  onTick(listener: () => void): void {
    this.tickListeners.add(listener);
  }

  /** Calls `listener` for each received heartbeat, from any role. */
  onHeartbeat(listener: HeartbeatListener): void {
    this.heartbeatListeners.add(listener);
  }

  /** Sends a heartbeat now, without waiting for the interval. */
  sendHeartbeats(): void {
    const {network, clock, contents, peers, listeners = []} = this.options;
    const nowMs = clock.nowMs();
    this.sequence += 1;
    const heartbeat: Heartbeat = {
      member: this.self,
      incarnation: network.identity.incarnation,
      sequence: this.sequence,
      missedAgesMs: this.table.missedAgesMs(nowMs),
      upMs: Math.round(nowMs - this.startMs),
      isLeaving: this.isLeaving,
      ...contents(),
    };
    for (const peer of [...peers, ...listeners]) {
      network.send(peer, HEARTBEAT_MESSAGE, heartbeat);
    }
  }

  /** Stops sending heartbeats. */
  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    this.table.tick(this.options.clock.nowMs());
    this.sendHeartbeats();
    for (const listener of this.tickListeners) listener();
  }

  private receive(heartbeat: Heartbeat, from: LinkIdentity): void {
    // The entry and the scheduler of a VM share a member name; a heartbeat of
    // the other role is no evidence of the liveness of the peer.
    if (from.role === this.options.network.identity.role) {
      this.table.record(heartbeat, this.options.clock.nowMs());
    }
    for (const listener of this.heartbeatListeners) listener(heartbeat, from);
  }
}
