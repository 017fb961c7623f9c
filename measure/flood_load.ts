import {Contract, contractSchema} from '../src/contracts/contract.js';
import {URGENCIES, Urgency} from '../src/contracts/urgency.js';

/** Stream of requests of one caller with one urgency. */
export interface LoadFlow {
  customer: string;
  caller: string;
  urgency: Urgency;
  /** Offered load as a fraction of the capacity. */
  load: number;
}

/** Caller that floods the system, and its customer. */
export const FLOODER = {customer: 'kettridge', caller: 'flooder'} as const;

/** Offered load of the flood as a multiple of the capacity. */
export const FLOOD_LOAD = 10;

/** Guaranteed fraction of the slots for each customer, by urgency. */
const FLOORS = {urgent: 0.2, standard: 0.12, batch: 0.08} as const;

const MAX_WAITING = 200;

const TIMEOUT_MS = 3000;

/**
 * Ordinary load of each caller by urgency, as fractions of the capacity; 0.62
 * in total.
 */
const CALLERS = [
  {customer: 'kettridge', caller: 'dispatch', loads: [0.08, 0.06, 0.05]},
  {customer: 'kettridge', caller: 'booking', loads: [0.08, 0.06, 0.05]},
  {customer: 'association', caller: 'portal', loads: [0.05, 0.04, 0.03]},
  {customer: 'association', caller: 'previews', loads: [0.05, 0.04, 0.03]},
];

/** Returns the flows of the ordinary load. */
export function ordinaryFlows(): LoadFlow[] {
  return CALLERS.flatMap(({customer, caller, loads}) =>
    URGENCIES.map((urgency, index) => ({
      customer,
      caller,
      urgency,
      load: loads[index]!,
    })),
  );
}

/** Returns the contracts of all customers in the load by customer name. */
export function floodContracts(): Map<string, Contract> {
  const urgencies = Object.fromEntries(
    URGENCIES.map((urgency) => [
      urgency,
      {
        floor: FLOORS[urgency],
        maxWaiting: MAX_WAITING,
        timeoutMs: TIMEOUT_MS,
      },
    ]),
  );
  const contracts = ['kettridge', 'association'].map((customer) => {
    const names = CALLERS.filter((entry) => entry.customer === customer).map(
      (entry) => entry.caller,
    );
    const callers = [...names, FLOODER.caller].map((name) => ({
      name,
      keyHash: '0'.repeat(64),
    }));
    return contractSchema.parse({customer, callers, urgencies});
  });
  return new Map(contracts.map((contract) => [contract.customer, contract]));
}

/**
 * Returns max-min fair shares: no party gets more than its demand, and the
 * remainder is divided equally among the others.
 *
 * @param demands - Demand of each party.
 * @param total - Amount to divide.
 */
export function fairShares(
  demands: readonly number[],
  total: number,
): number[] {
  const shares = demands.map(() => 0);
  const order = demands
    .map((_, i) => i)
    .sort((a, b) => demands[a]! - demands[b]!);
  let left = total;
  order.forEach((party, done) => {
    const share = Math.min(demands[party]!, left / (order.length - done));
    shares[party] = share;
    left -= share;
  });
  return shares;
}
