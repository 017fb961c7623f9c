import {Heartbeat} from './heartbeat.js';

/** Options of {@link PeerTable}. */
export interface PeerTableOptions {
  /** Name of this member. */
  self: string;
  /** Names of the other members that settings give. */
  peers: readonly string[];
  /** Silence in ms after which a member is suspected. @default 1200 */
  suspectAfterMs?: number;
  /** Monotonic time in ms at which the table starts. */
  startMs: number;
}

interface PeerState {
  heartbeat: Heartbeat | undefined;
  lastHeardMs: number;
}

/** Latest heartbeat of a living member. */
export interface LivingPeer {
  member: string;
  incarnation: string;
  /** Time in ms since the member started. */
  upMs: number;
  isLeaving: boolean;
}

/**
 * Latest heartbeats of the members of one role in one data centre, and which
 * members are alive. A member that any directly heard member still hears is
 * alive, so that a partition between two members alone raises no suspicion.
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
   * @returns False if it is older than the one known.
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
   * Must be called at each heartbeat interval. After a pause of this process
   * its peers count as heard again: they were not silent, it did not listen.
   */
  tick(nowMs: number): void {
    const gapMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    if (gapMs < this.suspectAfterMs) return;
    for (const state of this.peers.values()) {
      state.lastHeardMs += gapMs;
    }
  }

  /** Time in ms since each peer was heard directly, for those missed. */
  missedAgesMs(nowMs: number): Record<string, number> {
    const ages: Record<string, number> = {};
    for (const [member, state] of this.peers) {
      const ageMs = nowMs - state.lastHeardMs;
      const isMissed = !state.heartbeat || ageMs > this.missedAfterMs;
      if (isMissed) ages[member] = Math.round(ageMs);
    }
    return ages;
  }

  /** Tells whether a member was heard, directly or by a member heard here. */
  isLiving(member: string, nowMs: number): boolean {
    if (member === this.options.self) return true;
    const state = this.peers.get(member);
    if (!state?.heartbeat) return false;
    if (this.wasHeardRecently(state, nowMs)) return true;
    return [...this.peers.values()].some((observer) => {
      if (!observer.heartbeat || observer === state) return false;
      // A witness that does not report an age heard the member more recently.
      const ageMs =
        observer.heartbeat.missedAgesMs[member] ?? this.missedAfterMs;
      return ageMs + nowMs - observer.lastHeardMs < this.suspectAfterMs;
    });
  }

  /** True while a peer has not been heard yet and may still be starting. */
  isAwaitingPeers(nowMs: number): boolean {
    return [...this.peers.values()].some(
      (state) => !state.heartbeat && this.wasHeardRecently(state, nowMs),
    );
  }

  /** Living peers, without this member. */
  livingPeers(nowMs: number): LivingPeer[] {
    const living: LivingPeer[] = [];
    for (const [member, {heartbeat}] of this.peers) {
      if (!heartbeat || !this.isLiving(member, nowMs)) continue;
      const {incarnation, upMs, isLeaving} = heartbeat;
      living.push({member, incarnation, upMs, isLeaving});
    }
    return living;
  }

  /** Latest heartbeat of a peer. */
  latest(member: string): Heartbeat | undefined {
    return this.peers.get(member)?.heartbeat;
  }

  /**
   * Tells whether a link problem concerns this member: it misses one of
   * `members`, or one of them reports that it misses this member.
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
