import {Contract} from '../contracts/contract.js';

/** Looks up contracts; implemented by `ConfigurationView`. */
export interface ContractSource {
  /** Returns the contract of a customer, or undefined if it has none. */
  contract(customer: string): Contract | undefined;
}
