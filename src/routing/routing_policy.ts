import {Urgency} from '../contracts/urgency.js';

/** Load of a target as known to its owner when it routes a request. */
export interface TargetLoad {
  target: string;
  /** Number of requests it may run concurrently. */
  slots: number;
  /** Number of slots in use. */
  inUse: number;
  /** True if it may accept a new request; may be false for a full target. */
  isAvailable: boolean;
}

/** A routing decision. */
export interface RoutingChoice {
  target: string;
  /** Why the target was chosen, for the decision log. */
  reason: string;
}

/** Chooses a target for each request, and adapts to the results. */
export interface RoutingPolicy {
  /** Name of the policy in logs and measurements. */
  readonly name: string;
  /**
   * Chooses among the targets with a free slot.
   *
   * @param request - The urgency of the request and the targets to avoid,
   *     because it was already sent to them.
   * @returns The choice, or undefined if no target can accept the request now.
   */
  choose(
    candidates: readonly TargetLoad[],
    request: {urgency: Urgency; attempted: ReadonlySet<string>},
  ): RoutingChoice | undefined;
  /** Records the result of a request that was routed to a target. */
  recordResult(result: RoutingResult): void;
}

/** Result of one request on one target. */
export interface RoutingResult {
  target: string;
  /** Time in ms from the first byte sent to the last byte received. */
  latencyMs: number;
  /** True if the complete response was received. */
  succeeded: boolean;
  /**
   * Class of the request. Latencies are compared within a class, because
   * classes differ in their typical run times. @default 'standard'
   */
  urgency?: Urgency;
}
