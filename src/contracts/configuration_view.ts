import {Contract} from './contract.js';
import {PlannedStop} from './planned_stop.js';

/** A caller that presented a valid key. */
export interface AuthenticatedCaller {
  contract: Contract;
  caller: string;
}

/** Read-only view of the configuration in effect; no method waits. */
export interface ConfigurationView {
  /** Highest platform revision that is in effect here; 0 if none is. */
  readonly revision: number;
  /** Time in ms since the platform or a peer that reaches it confirmed this. */
  ageMs(): number;
  /** Returns the contract of a customer. */
  contract(customer: string): Contract | undefined;
  /**
   * Returns the contract of a customer or, once it is deleted, the contract that
   * the deletion ended. Jobs that were accepted under it keep its limits.
   */
  latestContract(customer: string): Contract | undefined;
  /** Returns all contracts. */
  contracts(): Iterable<Contract>;
  /** Returns the caller that a key belongs to, if there is one. */
  authenticate(key: string): AuthenticatedCaller | undefined;
  /** Returns the planned stop of a VM or target, if there is one. */
  plannedStop(name: string): PlannedStop | undefined;
  /** Calls `listener` after each change; returns a function that removes it. */
  onChange(listener: () => void): () => void;
}
