import {Contract} from '../contracts/contract.js';
import {Urgency} from '../contracts/urgency.js';
import {WaitingRequest} from './waiting_request.js';

/** Requests that wait for one customer in one class. */
interface WaitingRoom {
  total: number;
  callers: Map<string, number>;
}

/**
 * A caller may hold this many times the places that are still free. One
 * bursting caller gets two thirds of the places, two get two fifths each; some
 * always remain for the others.
 */
const FREE_PLACES_FACTOR = 2;

/** Applies `maxWaiting` of the contracts, per customer, class and caller. */
export class WaitingLimits {
  private readonly rooms = new Map<string, WaitingRoom>();

  /** @param livingEntries - Number of entries that share the limits. */
  constructor(private readonly livingEntries: () => number) {}

  /** Returns this entry's part of the contract's limit; at least 1. */
  limit(contract: Contract, urgency: Urgency): number {
    const {maxWaiting} = contract.urgencies[urgency];
    const entries = Math.max(1, this.livingEntries());
    return Math.max(1, Math.floor(maxWaiting / entries));
  }

  /** Returns why the request may not wait, or undefined if it may. */
  refusal(request: WaitingRequest, contract: Contract): string | undefined {
    const limit = this.limit(contract, request.urgency);
    const room = this.rooms.get(this.key(request));
    const total = room?.total ?? 0;
    if (total >= limit) {
      return `${total} ${request.urgency} requests of ${request.customer} wait; its limit here is ${limit}`;
    }
    const own = room?.callers.get(request.caller) ?? 0;
    if (own === 0 || contract.callers.length === 1) return undefined;
    const free = limit - total;
    // The last place is kept for a caller that has nothing waiting.
    if (own < FREE_PLACES_FACTOR * free && free > 1) return undefined;
    return `${own} ${request.urgency} requests of caller ${request.caller} wait; the remaining ${free} of ${limit} places are kept for other callers`;
  }

  /** Counts a request that waits from now on. */
  add(request: WaitingRequest): void {
    const key = this.key(request);
    let room = this.rooms.get(key);
    if (!room) {
      room = {total: 0, callers: new Map()};
      this.rooms.set(key, room);
    }
    room.total += 1;
    const own = room.callers.get(request.caller) ?? 0;
    room.callers.set(request.caller, own + 1);
  }

  /** Counts out a request that no longer waits. */
  remove(request: WaitingRequest): void {
    const key = this.key(request);
    const room = this.rooms.get(key);
    if (!room) return;
    room.total -= 1;
    const own = room.callers.get(request.caller) ?? 0;
    if (own > 1) room.callers.set(request.caller, own - 1);
    else room.callers.delete(request.caller);
    if (room.total === 0) this.rooms.delete(key);
  }

  private key(request: WaitingRequest): string {
    return `${request.customer}/${request.urgency}`;
  }
}
