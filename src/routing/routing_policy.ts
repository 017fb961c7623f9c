import {Urgency} from '../contracts/urgency.js';

/** What the owner of a target knows about it when it routes a request. */
export interface TargetLoad {
  target: string;
  /** Requests it may run at once. */
  slots: number;
  /** Requests that run on it now. */
  inUse: number;
  /** True if it may take new work; a full target may show false. */
  isAvailable: boolean;
}

/** A routing decision. */
export interface RoutingChoice {
  target: string;
  reason: string;
}

/** Chooses a target for each request and learns from the results. */
export interface RoutingPolicy {
  /** Name that logs and measurements show. */
  readonly name: string;
  /**
   * Chooses among targets with a free slot.
   *
   * @returns The choice, or undefined if no target can take the request now.
   */
  choose(
    candidates: readonly TargetLoad[],
    request: {urgency: Urgency; attempted: ReadonlySet<string>},
  ): RoutingChoice | undefined;
  /** Records the result of a request. */
  recordResult(result: RoutingResult): void;
}

/** Result of one request on one target. */
export interface RoutingResult {
  target: string;
  /** Time in ms from the first byte sent to the last byte received. */
  latencyMs: number;
  /** True if the whole answer arrived. */
  succeeded: boolean;
  /**
   * Class of the request; latencies are compared inside a class, because
   * classes differ in their usual run time. @default 'standard'
   */
  urgency?: Urgency;
}
