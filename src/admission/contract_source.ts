import {Contract} from '../contracts/contract.js';

/** Where admission finds contracts; a `ConfigurationView` is one. */
export interface ContractSource {
  /** Returns the contract of a customer. */
  contract(customer: string): Contract | undefined;
}
