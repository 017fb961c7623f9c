import {Heartbeat} from './heartbeat.js';

/** Options of {@link PeerTable}. */
export interface PeerTableOptions {
  /** Name of this member. */
  self: string;
  /** Names of the other members, from the settings. */
  peers: readonly string[];
  /** Time in ms without a heartbeat until a peer is suspected. @default 1200 */
  suspectAfterMs?: number;
  /** Monotonic time in ms at which the table is created. */
  startMs: number;
}

interface PeerState {
  heartbeat: Heartbeat | undefined;
  lastHeardMs: number;
}

/** A live member: one that was heard recently, or this member itself. */
export interface LivePeer {
  member: string;
  incarnation: string;
  /** Uptime of the member in ms. */
  upMs: number;
  isLeaving: boolean;
}

/**
 * Failure detector for the members of one role in one data centre. Keeps the
 * latest heartbeat of each peer. A peer also counts as live while another peer
 * reports recent heartbeats from it, so that a broken link between two members
 * does not raise a suspicion.
 */
export class PeerTable {
  private readonly peers = new Map<string, PeerState>();
  private readonly suspectAfterMs: number;
  private readonly missedAfterMs: number;
  private lastTickMs: number;

  constructor(private readonly options: PeerTableOptions) {
    this.suspectAfterMs = options.suspectAfterMs ?? 1200;
    this.missedAfterMs = this.suspectAfterMs / 2;
    this.lastTickMs = options.startMs;
    for (const peer of options.peers) {
      this.peers.set(peer, {
        heartbeat: undefined,
        lastHeardMs: options.startMs,
      });
    }
  }

  /**
   * Records a heartbeat.
   *
   * @returns False if the sender is unknown or the heartbeat is not newer than
   *     the latest one of its incarnation.
   */
  record(heartbeat: Heartbeat, nowMs: number): boolean {
    const known = this.peers.get(heartbeat.member);
    if (!known) return false;
    const isOlder =
      known.heartbeat?.incarnation === heartbeat.incarnation &&
      known.heartbeat.sequence >= heartbeat.sequence;
    if (isOlder) return false;
    this.peers.set(heartbeat.member, {heartbeat, lastHeardMs: nowMs});
    return true;
  }

  /**
   * Must be called at each heartbeat interval. A gap of at least the suspicion
   * time between two calls means that this process was paused; the gap is then
   * excluded from the silence of the peers, whose heartbeats it did not read.
   */
  tick(nowMs: number): void {
    const gapMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (gapMs < this.suspectAfterMs) return;
    for (const state of this.peers.values()) {
      state.lastHeardMs += gapMs;
    }
  }

  /**
   * Time in ms since the last direct heartbeat of each peer that is overdue or
   * was never heard.
   */
  missedAgesMs(nowMs: number): Record<string, number> {
    const ages: Record<string, number> = {};
    for (const [member, state] of this.peers) {
      const ageMs = nowMs - state.lastHeardMs;
      const isMissed = !state.heartbeat || ageMs > this.missedAfterMs;
      if (isMissed) ages[member] = Math.round(ageMs);
    }
    return ages;
  }

  /**
   * Whether a member is live: a heartbeat of it was received recently, here or
   * by one of the peers. This member always is.
   */
  isLive(member: string, nowMs: number): boolean {
    if (member === this.options.self) return true;
    const state = this.peers.get(member);
    if (!state?.heartbeat) return false;
    if (this.wasHeardRecently(state, nowMs)) return true;
    return [...this.peers.values()].some((observer) => {
      if (!observer.heartbeat || observer === state) return false;
      // An observer omits the age of a member that is not overdue.
      const ageMs =
        observer.heartbeat.missedAgesMs[member] ?? this.missedAfterMs;
      return ageMs + nowMs - observer.lastHeardMs < this.suspectAfterMs;
    });
  }

  /** Whether a peer has never been heard and may still be starting. */
  isAwaitingPeers(nowMs: number): boolean {
    return [...this.peers.values()].some(
      (state) => !state.heartbeat && this.wasHeardRecently(state, nowMs),
    );
  }

  /** Returns the live peers, without this member. */
  livePeers(nowMs: number): LivePeer[] {
    const live: LivePeer[] = [];
    for (const [member, {heartbeat}] of this.peers) {
      if (!heartbeat || !this.isLive(member, nowMs)) continue;
      const {incarnation, upMs, isLeaving} = heartbeat;
      live.push({member, incarnation, upMs, isLeaving});
    }
    return live;
  }

  /** Latest heartbeat of a peer, if any was received. */
  latest(member: string): Heartbeat | undefined {
    return this.peers.get(member)?.heartbeat;
  }

  /**
   * Whether heartbeats between this member and one of `members` are overdue in
   * either direction: here, or according to the latest heartbeat of the other.
   */
  hasLostContact(members: readonly string[], nowMs: number): boolean {
    return members.some((member) => {
      const state = this.peers.get(member);
      if (!state) return false;
      if (nowMs - state.lastHeardMs > this.missedAfterMs) return true;
      const missed = state.heartbeat?.missedAgesMs ?? {};
      return this.options.self in missed;
    });
  }

  private wasHeardRecently(state: PeerState, nowMs: number): boolean {
    return nowMs - state.lastHeardMs < this.suspectAfterMs;
  }
}
