import {Clock} from '../clock/clock.js';

/** Measured and configured properties of a link to a data centre. */
export interface SpillLink {
  /** One-way delay in ms. */
  delayMs: number;
  /** Part of the packets that are lost, 0 to 1. */
  lossFraction: number;
  /** Price of one request in cost units. */
  price: number;
}

/** A data centre that may take a request. */
export interface SpillCandidate {
  dataCentre: string;
  /** Free slots of the service as last reported. */
  freeSlots: number;
  /** Age of that report in ms. */
  reportAgeMs: number;
  link: SpillLink;
}

/** A request that waits locally and may spill. */
export interface SpillRequest {
  /** Data centre from which the request came by a spill, if it did. */
  spilledFrom: string | undefined;
  /** Expected wait in ms if the request stays here. */
  localWaitMs: number;
  /** Time in ms until the deadline. */
  remainingMs: number;
  /** Data centres that the contract allows. */
  allowed: readonly string[];
  /** Largest cost that the contract allows. */
  maxCost: number;
}

/** Where a request spills to. */
export interface SpillChoice {
  dataCentre: string;
  cost: number;
  reason: string;
}

/** Options of {@link SpillPolicy}. */
export interface SpillPolicyOptions {
  clock: Clock;
  /** Age in ms from which a report of free slots is ignored. @default 2000 */
  maxReportAgeMs?: number;
  /**
   * Time in ms for which a data centre that sent spilled requests here gets
   * none back. @default 5000
   */
  returnHoldDownMs?: number;
  /** Part of the local wait that a spill must save, 0 to 1. @default 0.25 */
  minSaving?: number;
}

/** TCP's usual smallest retransmission timeout in ms: the price of a loss. */
const RETRANSMISSION_TIMEOUT_MS = 200;

/** Packets that a typical request and its answer need. */
const PACKETS_PER_REQUEST = 4;

/** Expected time in ms that a link adds to a request. */
export function addedLatencyMs(link: SpillLink): number {
  const losses = PACKETS_PER_REQUEST * link.lossFraction;
  return 2 * link.delayMs + losses * RETRANSMISSION_TIMEOUT_MS;
}

/** Cost of a spilled request: one unit per ms of added time, and the price. */
export function spillCost(link: SpillLink): number {
  return addedLatencyMs(link) + link.price;
}

/**
 * Chooses the data centre for a request that the local targets can't take
 * soon. A request spills at most once. Two data centres never send each other
 * requests at the same time, because each remembers whose it received.
 */
export class SpillPolicy {
  private readonly receivedAtMs = new Map<string, number>();

  constructor(private readonly options: SpillPolicyOptions) {}

  /** Records that a spilled request arrived from `dataCentre`. */
  recordReceived(dataCentre: string): void {
    this.receivedAtMs.set(dataCentre, this.options.clock.nowMs());
  }

  /** Returns the cheapest data centre that is worth it, or undefined. */
  choose(
    request: SpillRequest,
    candidates: readonly SpillCandidate[],
  ): SpillChoice | undefined {
    if (request.spilledFrom !== undefined) return undefined;
    let best: SpillChoice | undefined;
    for (const candidate of candidates) {
      if (!this.isEligible(request, candidate)) continue;
      const cost = spillCost(candidate.link);
      if (cost > request.maxCost || (best && best.cost <= cost)) continue;
      best = {
        dataCentre: candidate.dataCentre,
        cost,
        reason: `local wait ${request.localWaitMs.toFixed(0)} ms, cost ${cost.toFixed(0)}`,
      };
    }
    return best;
  }

  private isEligible(
    request: SpillRequest,
    candidate: SpillCandidate,
  ): boolean {
    const {maxReportAgeMs = 2000, minSaving = 0.25} = this.options;
    const addedMs = addedLatencyMs(candidate.link);
    return (
      request.allowed.includes(candidate.dataCentre) &&
      candidate.freeSlots > 0 &&
      candidate.reportAgeMs < maxReportAgeMs &&
      addedMs < request.remainingMs &&
      addedMs <= request.localWaitMs * (1 - minSaving) &&
      !this.isHeldDown(candidate.dataCentre)
    );
  }

  private isHeldDown(dataCentre: string): boolean {
    const atMs = this.receivedAtMs.get(dataCentre);
    const {clock, returnHoldDownMs = 5000} = this.options;
    return atMs !== undefined && clock.nowMs() - atMs < returnHoldDownMs;
  }
}
