import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {OwnershipView} from '../ownership/ownership_view.js';
import {RandomSource} from '../random/random_source.js';
import {Outcome} from '../result_codes/outcome.js';
import {ConnectionPool} from '../targets/connection_pool.js';
import {sendHttpRequest} from '../targets/http_exchange.js';
import {
  ResponseHeaders,
  ResponseSink,
  TargetRequest,
  TargetResult,
  TargetResultKind,
} from '../targets/target_client.js';
import {PeerGrant, PeerSlots, ReservationRequest} from './peer_slots.js';
import {CODE_HEADER, OUTCOME_HEADER} from './result_headers.js';

/** Options of {@link PeerSlotClient}. */
export interface PeerSlotClientOptions {
  network: Pick<PeerNetwork, 'identity' | 'isConnected' | 'request' | 'send'>;
  ownership: OwnershipView;
  /** Returns the members that own targets of a service. */
  ownersOf: (service: string) => Set<string>;
  /** HTTP origins of the entries of the data centre, by member. */
  origins: ReadonlyMap<string, string>;
  clock: Clock;
  random: RandomSource;
  /** Called when a peer may have a free slot again. */
  onChange: () => void;
}

/** Name of the peer request that reserves a slot. */
export const RESERVE_REQUEST = 'reserve';

/** Name of the peer message that releases a reservation. */
export const RELEASE_MESSAGE = 'release';

/** Path prefix under which an owner accepts requests for reserved slots. */
export const RESERVED_PATH = '/-/reserved/';

/** Reply to {@link RESERVE_REQUEST}. */
export const reservedSchema = z.object({
  /** ID of the reservation; undefined if no slot was free. */
  reservation: z.string().optional(),
});

const MAX_RESERVE_TIMEOUT_MS = 500;
const MAX_CONNECTIONS_PER_PEER = 64;

// Time in ms after a refusal in which no slot is requested from the peer. Until
// its next heartbeat, a peer that reported its free slots counts as full.
const BACKOFF_MS = 50;

interface PeerState {
  /** Free slots by service: as last reported, adjusted for own requests. */
  free: Record<string, number> | undefined;
  /** Monotonic time in ms until which no slot is requested, by service. */
  backoffUntilMs: Map<string, number>;
}

/** Reserves slots at other entries over peer links, and forwards by HTTP. */
export class PeerSlotClient implements PeerSlots {
  private readonly peers = new Map<string, PeerState>();
  private readonly pools = new Map<string, ConnectionPool>();

  constructor(private readonly options: PeerSlotClientOptions) {}

  /** Records the free slots that a heartbeat reported. */
  recordFreeSlots(member: string, free: Record<string, number>): void {
    this.getOrCreateState(member).free = free;
    this.options.onChange();
  }

  mayHaveSlot(service: string): boolean {
    return this.candidates(service).length > 0;
  }

  async reserve(request: ReservationRequest): Promise<PeerGrant | undefined> {
    const {network, clock, random} = this.options;
    const candidates = this.candidates(request.service);
    const member = candidates[random.nextInteger(candidates.length)];
    if (member === undefined) return undefined;
    const state = this.getOrCreateState(member);
    this.adjustFreeSlots(state, request.service, -1);
    try {
      const reply = await network.request(
        {role: network.identity.role, member},
        RESERVE_REQUEST,
        {
          body: request,
          timeoutMs: Math.max(
            1,
            Math.min(MAX_RESERVE_TIMEOUT_MS, request.remainingMs),
          ),
        },
      );
      const {reservation} = reservedSchema.parse(reply);
      if (reservation !== undefined) {
        return {member, reservation, service: request.service};
      }
    } catch {
      // A reservation whose reply was lost expires at the peer.
    }
    state.backoffUntilMs.set(request.service, clock.nowMs() + BACKOFF_MS);
    if (state.free) state.free[request.service] = 0;
    return undefined;
  }

  release(grant: PeerGrant): void {
    const {network} = this.options;
    const to = {role: network.identity.role, member: grant.member};
    network.send(to, RELEASE_MESSAGE, {reservation: grant.reservation});
  }

  async send(
    grant: PeerGrant,
    request: TargetRequest,
    sink: ResponseSink,
  ): Promise<TargetResult> {
    const pool = this.getOrCreatePool(grant.member);
    const connection = pool?.acquire();
    if (!pool || !connection) {
      this.release(grant);
      return {
        kind: TargetResultKind.NOT_SENT,
        reason: 'no connection to the peer is available',
      };
    }
    const path = RESERVED_PATH + grant.reservation + request.path;
    const result = await sendHttpRequest(
      connection.client,
      {...request, path},
      {
        sink,
        refusalReason: (headers) => refusalReason(headers, Outcome.DID_NOT_RUN),
        lossReason,
        onReceived: () => {
          connection.lastReceivedMs = this.options.clock.nowMs();
        },
      },
    );
    const isComplete = result.kind === TargetResultKind.ANSWERED;
    if (isComplete) pool.release(connection);
    else pool.discard(connection);
    // The slot is free again, so a request for it need not wait.
    const state = this.getOrCreateState(grant.member);
    state.backoffUntilMs.delete(grant.service);
    this.adjustFreeSlots(state, grant.service, isComplete ? 1 : 0);
    return result;
  }

  /** Closes all connections. */
  stop(): void {
    for (const pool of this.pools.values()) pool.stop();
  }

  private candidates(service: string): string[] {
    const {network, ownersOf, clock} = this.options;
    const nowMs = clock.nowMs();
    return [...ownersOf(service)].filter((member) => {
      if (member === network.identity.member) return false;
      if (!network.isConnected(network.identity.role, member)) return false;
      const state = this.getOrCreateState(member);
      const backoffUntilMs = state.backoffUntilMs.get(service) ?? 0;
      return nowMs >= backoffUntilMs && state.free?.[service] !== 0;
    });
  }

  private adjustFreeSlots(
    state: PeerState,
    service: string,
    change: number,
  ): void {
    const free = state.free?.[service];
    if (state.free && free !== undefined) {
      state.free[service] = Math.max(0, free + change);
    }
  }

  private getOrCreateState(member: string): PeerState {
    let state = this.peers.get(member);
    if (!state) {
      state = {free: undefined, backoffUntilMs: new Map()};
      this.peers.set(member, state);
    }
    return state;
  }

  private getOrCreatePool(member: string): ConnectionPool | undefined {
    const known = this.pools.get(member);
    const origin = this.options.origins.get(member);
    if (known || origin === undefined) return known;
    const pool = new ConnectionPool({
      origin,
      clock: this.options.clock,
      maxConnections: MAX_CONNECTIONS_PER_PEER,
    });
    this.pools.set(member, pool);
    return pool;
  }
}

function refusalReason(
  headers: ResponseHeaders,
  outcome: Outcome,
): string | undefined {
  if (headers[OUTCOME_HEADER] !== outcome) return undefined;
  return `code ${String(headers[CODE_HEADER])} of the owner`;
}

/**
 * Returns why a response of an owner counts as lost, or undefined. Only a
 * response with outcome "ran" was forwarded from a target.
 */
function lossReason(headers: ResponseHeaders): string | undefined {
  if (headers[OUTCOME_HEADER] === Outcome.RAN) return undefined;
  return `code ${String(headers[CODE_HEADER])} of the owner`;
}
