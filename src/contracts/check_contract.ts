import {checkValue, createValueError, ValueIssue} from './check_value.js';
import {Contract, contractSchema} from './contract.js';

/** Options of {@link checkContract}. */
export interface CheckContractOptions {
  /**
   * Returns the customer whose contract in effect lists a key hash.
   * @default no customer
   */
  findCustomerByKeyHash?: (keyHash: string) => string | undefined;
}

// Floors are decimal fractions whose sum may exceed 1 by a rounding error.
const ROUNDING_TOLERANCE = 1e-9;

function findIssues(
  contract: Contract,
  options: CheckContractOptions,
): ValueIssue[] {
  const issues: ValueIssue[] = [];
  const floors = Object.values(contract.urgencies).map(({floor}) => floor);
  const sum = floors.reduce((total, floor) => total + floor, 0);
  if (sum > 1 + ROUNDING_TOLERANCE) {
    const text = `given ${floors.join(' + ')}; allowed: a sum of at most 1`;
    issues.push({key: 'urgencies.*.floor', text});
  }
  const seenNames = new Set<string>();
  const seenKeyHashes = new Set<string>();
  for (const [index, {name, keyHash}] of contract.callers.entries()) {
    const key = `callers.${index}`;
    if (seenNames.has(name)) {
      const text = `given "${name}"; allowed: each name once`;
      issues.push({key: `${key}.name`, text});
    }
    const owner = options.findCustomerByKeyHash?.(keyHash) ?? contract.customer;
    if (seenKeyHashes.has(keyHash) || owner !== contract.customer) {
      const text = `given "${keyHash}"; allowed: a key hash that no other caller uses`;
      issues.push({key: `${key}.keyHash`, text});
    }
    seenNames.add(name);
    seenKeyHashes.add(keyHash);
  }
  return issues;
}

/**
 * Checks a contract against its schema and the rules that span several
 * fields.
 *
 * @param input - Contract as submitted by an operator.
 * @returns The contract with defaults filled in.
 * @throws ResultError BAD_REQUEST listing each invalid key, its value and the
 *     allowed values.
 */
export function checkContract(
  input: unknown,
  options: CheckContractOptions = {},
): Contract {
  const contract = checkValue('contract', input, contractSchema);
  const issues = findIssues(contract, options);
  if (issues.length > 0) throw createValueError('contract', issues);
  return contract;
}
