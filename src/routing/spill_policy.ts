import {Clock} from '../clock/clock.js';

/** Properties of the network link to another data centre. */
export interface SpillLink {
  /** One-way delay in ms. */
  delayMs: number;
  /** Fraction of packets lost, 0 to 1. */
  lossFraction: number;
  /** Price of one request in cost units. */
  price: number;
}

/** A data centre that a request may spill to. */
export interface SpillCandidate {
  dataCentre: string;
  /** Free slots of the service as last reported. */
  freeSlots: number;
  /** Age of that report in ms. */
  reportAgeMs: number;
  link: SpillLink;
}

/** A request that is queued locally and may spill to another data centre. */
export interface SpillRequest {
  /** Data centre that spilled the request here, if any. */
  spilledFrom: string | undefined;
  /** Expected wait in ms if the request is served locally. */
  localWaitMs: number;
  /** Time in ms until the deadline. */
  remainingMs: number;
  /** Data centres that the contract permits. */
  allowed: readonly string[];
  /** Largest cost that the contract permits. */
  maxCost: number;
}

/** A decision to spill a request. */
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
   * Time in ms after receiving a spilled request during which no request
   * spills back to the data centre that sent it. @default 5000
   */
  returnHoldDownMs?: number;
  /**
   * Fraction of the local wait that a spill must save, 0 to 1.
   * @default 0.25
   */
  minSaving?: number;
}

/** Usual minimum TCP retransmission timeout in ms: the delay per loss. */
const RETRANSMISSION_TIMEOUT_MS = 200;

/** Packets of a typical request and its response. */
const PACKETS_PER_REQUEST = 4;

/** Returns the expected latency in ms that a link adds to a request. */
export function addedLatencyMs(link: SpillLink): number {
  const losses = PACKETS_PER_REQUEST * link.lossFraction;
  return 2 * link.delayMs + losses * RETRANSMISSION_TIMEOUT_MS;
}

/** Returns the cost of a spill: one unit per ms of added latency plus price. */
export function spillCost(link: SpillLink): number {
  return addedLatencyMs(link) + link.price;
}

/**
 * Chooses another data centre for a request that local targets cannot accept
 * soon. A request spills at most once. So that two data centres do not spill to
 * each other at the same time, one that received a spilled request spills none
 * to its sender for `returnHoldDownMs`.
 */
export class SpillPolicy {
  private readonly receivedAtMs = new Map<string, number>();

  constructor(private readonly options: SpillPolicyOptions) {}

  /** Records that `dataCentre` spilled a request here. */
  recordReceived(dataCentre: string): void {
    this.receivedAtMs.set(dataCentre, this.options.clock.nowMs());
  }

  /** Returns the cheapest eligible data centre, or undefined. */
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
