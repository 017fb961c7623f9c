import {Contract} from '../contracts/contract.js';
import {Urgency} from '../contracts/urgency.js';
import {WaitingRequest} from './waiting_request.js';

/** Requests that wait for one customer in one class. */
interface QueueOccupancy {
  total: number;
  callers: Map<string, number>;
}

/**
 * A caller may hold this many times the places that are still free. One
 * bursting caller gets two thirds of the places, two get two fifths each; some
 * always remain for the others.
 */
const THRESHOLD_FACTOR = 2;

/** Applies `maxWaiting` of the contracts, per customer, class and caller. */
export class QueueLimits {
  private readonly occupancies = new Map<string, QueueOccupancy>();

  /** @param livingEntries - Number of entries that share the limits. */
  constructor(private readonly livingEntries: () => number) {}

  /** Returns this entry's part of the contract's limit; at least 1. */
  limit(contract: Contract, urgency: Urgency): number {
    const {maxWaiting} = contract.urgencies[urgency];
    const entries = Math.max(1, this.livingEntries());
    return Math.max(1, Math.floor(maxWaiting / entries));
  }

  /** Returns why the request may not wait, or undefined if it may. */
  refusalReason(
    request: WaitingRequest,
    contract: Contract,
  ): string | undefined {
    const limit = this.limit(contract, request.urgency);
    const occupancy = this.occupancies.get(this.key(request));
    const total = occupancy?.total ?? 0;
    if (total >= limit) {
      return `${total} ${request.urgency} requests of ${request.customer} wait; its limit here is ${limit}`;
    }
    const callerWaiting = occupancy?.callers.get(request.caller) ?? 0;
    if (callerWaiting === 0 || contract.callers.length === 1) return undefined;
    const free = limit - total;
    // The last place is kept for a caller that has nothing waiting.
    if (callerWaiting < THRESHOLD_FACTOR * free && free > 1) return undefined;
    return `${callerWaiting} ${request.urgency} requests of caller ${request.caller} wait; the remaining ${free} of ${limit} places are kept for other callers`;
  }

  /** Counts a request that waits from now on. */
  add(request: WaitingRequest): void {
    const key = this.key(request);
    let occupancy = this.occupancies.get(key);
    if (!occupancy) {
      occupancy = {total: 0, callers: new Map()};
      this.occupancies.set(key, occupancy);
    }
    occupancy.total += 1;
    const waiting = occupancy.callers.get(request.caller) ?? 0;
    occupancy.callers.set(request.caller, waiting + 1);
  }

  /** Counts out a request that no longer waits. */
  remove(request: WaitingRequest): void {
    const key = this.key(request);
    const occupancy = this.occupancies.get(key);
    if (!occupancy) return;
    occupancy.total -= 1;
    const waiting = occupancy.callers.get(request.caller) ?? 0;
    if (waiting > 1) occupancy.callers.set(request.caller, waiting - 1);
    else occupancy.callers.delete(request.caller);
    if (occupancy.total === 0) this.occupancies.delete(key);
  }

  private key(request: WaitingRequest): string {
    return `${request.customer}/${request.urgency}`;
  }
}
