import {createHash, timingSafeEqual} from 'node:crypto';

import {AuthenticatedCaller} from './configuration_view.js';
import {Contract} from './contract.js';

/**
 * Index of callers by the hash of their key. The time of a look-up does not
 * depend on the number of callers.
 */
export class CallerIndex {
  private readonly callersByHash = new Map<string, AuthenticatedCaller[]>();

  /** Adds the callers of a contract. */
  add(contract: Contract): void {
    for (const {name, keyHash} of contract.callers) {
      const callers = this.callersByHash.get(keyHash) ?? [];
      callers.push({contract, caller: name});
      callers.sort((a, b) => compareCallers(a, b));
      this.callersByHash.set(keyHash, callers);
    }
  }

  /** Removes the callers of a contract that was added. */
  remove(contract: Contract): void {
    for (const {keyHash} of contract.callers) {
      const callers = this.callersByHash.get(keyHash) ?? [];
      const remaining = callers.filter(
        (caller) => caller.contract !== contract,
      );
      if (remaining.length > 0) this.callersByHash.set(keyHash, remaining);
      else this.callersByHash.delete(keyHash);
    }
  }

  /**
   * Returns the caller that a key belongs to. If several contracts list the
   * same key, the first one by customer name is used, so that all processes
   * agree.
   */
  find(key: string): AuthenticatedCaller | undefined {
    const digest = createHash('sha256').update(key).digest();
    return this.findByHash(digest.toString('hex'), digest);
  }

  /** Returns the customer whose contract lists this key hash, if any. */
  findCustomerByKeyHash(keyHash: string): string | undefined {
    return this.callersByHash.get(keyHash)?.[0]?.contract.customer;
  }

  private findByHash(
    hash: string,
    digest: Buffer,
  ): AuthenticatedCaller | undefined {
    const found = this.callersByHash.get(hash)?.[0];
    if (!found) return undefined;
    const caller = found.contract.callers.find(
      ({name}) => name === found.caller,
    );
    if (!caller) return undefined;
    const stored = Buffer.from(caller.keyHash, 'hex');
    return timingSafeEqual(stored, digest) ? found : undefined;
  }
}

function compareCallers(
  a: AuthenticatedCaller,
  b: AuthenticatedCaller,
): number {
  const firstKey = `${a.contract.customer} ${a.caller}`;
  const secondKey = `${b.contract.customer} ${b.caller}`;
  return firstKey < secondKey ? -1 : Number(firstKey > secondKey);
}
