import {Contract} from './contract.js';
import {PlannedStop} from './planned_stop.js';

/** A caller that presented a valid key. */
export interface AuthenticatedCaller {
  contract: Contract;
  caller: string;
}

/** What a process knows of the configuration; read-only and never waits. */
export interface ConfigurationView {
  /** Highest platform revision that is in effect here; 0 if none is. */
  readonly revision: number;
  /** Time in ms since the platform, or a peer that reaches it, confirmed it. */
  ageMs(): number;
  /** Returns the contract of a customer. */
  contract(customer: string): Contract | undefined;
  /** Returns all contracts. */
  contracts(): Iterable<Contract>;
  /** Finds the caller that a key belongs to, in constant time for a key. */
  authenticate(key: string): AuthenticatedCaller | undefined;
  /** Returns the plan to stop a VM or target. */
  plannedStop(name: string): PlannedStop | undefined;
  /** Calls `listener` after each change; returns a function that ends this. */
  onChange(listener: () => void): () => void;
}
