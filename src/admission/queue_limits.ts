import {Contract} from '../contracts/contract.js';
import {Urgency} from '../contracts/urgency.js';
import {WaitingRequest} from './waiting_request.js';

/** Number of waiting requests of one customer in one class. */
interface QueueOccupancy {
  total: number;
  callers: Map<string, number>;
}

/**
 * Dynamic threshold: a caller may occupy this many times the queue capacity
 * that is still free. One bursting caller gets two thirds of the capacity, two
 * get two fifths each; some always remains for other callers.
 */
const THRESHOLD_FACTOR = 2;

/**
 * Enforces `maxWaiting` of the contracts per customer and class, and shares it
 * among the callers of a customer.
 */
export class QueueLimits {
  private readonly occupancies = new Map<string, QueueOccupancy>();

  /** @param livingEntries - Returns the number of live entries. */
  constructor(private readonly livingEntries: () => number) {}

  /** Returns this entry's portion of the contract's limit; at least 1. */
  limit(contract: Contract, urgency: Urgency): number {
    const {maxWaiting} = contract.urgencies[urgency];
    const entries = Math.max(1, this.livingEntries());
    return Math.max(1, Math.floor(maxWaiting / entries));
  }

  /** Returns why the request is rejected, or undefined if it may be queued. */
  refusalReason(
    request: WaitingRequest,
    contract: Contract,
  ): string | undefined {
    const limit = this.limit(contract, request.urgency);
    const occupancy = this.occupancies.get(this.key(request));
    const total = occupancy?.total ?? 0;
    if (total >= limit) {
      return `${total} ${request.urgency} requests of customer ${request.customer} are waiting; its limit at this entry is ${limit}`;
    }
    const callerWaiting = occupancy?.callers.get(request.caller) ?? 0;
    if (callerWaiting === 0 || contract.callers.length === 1) return undefined;
    const free = limit - total;
    // The last place is reserved for a caller without waiting requests.
    if (callerWaiting < THRESHOLD_FACTOR * free && free > 1) return undefined;
    return `${callerWaiting} ${request.urgency} requests of caller ${request.caller} are waiting; the remaining ${free} of ${limit} places are reserved for other callers`;
  }

  /** Counts a request that was queued. */
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

  /** Removes a request that left the queue from the counts. */
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
