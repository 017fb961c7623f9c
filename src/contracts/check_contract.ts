import {checkValue, toValueError, ValueIssue} from './check_value.js';
import {Contract, contractSchema} from './contract.js';

/** Options of {@link checkContract}. */
export interface CheckContractOptions {
  /**
   * Returns the customer whose contract in effect names a key hash.
   * @default nobody
   */
  customerOfKeyHash?: (keyHash: string) => string | undefined;
}

// Floors are decimal fractions whose sum may exceed 1 by a rounding error.
const ROUNDING = 1e-9;

function findIssues(
  contract: Contract,
  options: CheckContractOptions,
): ValueIssue[] {
  const issues: ValueIssue[] = [];
  const floors = Object.values(contract.urgencies).map(({floor}) => floor);
  const sum = floors.reduce((total, floor) => total + floor, 0);
  if (sum > 1 + ROUNDING) {
    const text = `given ${floors.join(' + ')}; allowed: a sum of at most 1`;
    issues.push({key: 'urgencies.*.floor', text});
  }
  const names = new Set<string>();
  const hashes = new Set<string>();
  for (const [index, {name, keyHash}] of contract.callers.entries()) {
    const key = `callers.${index}`;
    if (names.has(name)) {
      const text = `given "${name}"; allowed: each name once`;
      issues.push({key: `${key}.name`, text});
    }
    const other = options.customerOfKeyHash?.(keyHash) ?? contract.customer;
    if (hashes.has(keyHash) || other !== contract.customer) {
      const text = `given "${keyHash}"; allowed: a key that no other caller has`;
      issues.push({key: `${key}.keyHash`, text});
    }
    names.add(name);
    hashes.add(keyHash);
  }
  return issues;
}

/**
 * Checks a contract against its schema and the rules that concern several
 * fields.
 *
 * @param input - Contract as an operator gave it.
 * @returns The contract with defaults filled in.
 * @throws ResultError BAD_REQUEST naming each key, the given value and what is
 *     allowed.
 */
export function checkContract(
  input: unknown,
  options: CheckContractOptions = {},
): Contract {
  const contract = checkValue('contract', input, contractSchema);
  const issues = findIssues(contract, options);
  if (issues.length > 0) throw toValueError('contract', issues);
  return contract;
}
