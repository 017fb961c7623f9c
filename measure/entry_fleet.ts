import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../src/clock/sleep.js';
import {Caller} from '../testing/caller.js';
import {Fleet} from '../testing/fleet.js';
import {hashKey} from '../testing/operator_api.js';
import {storeContract} from '../testing/store_contract.js';

/** Contract document as an operator submits it. */
export interface ContractDocument {
  customer: string;
  callers: ReadonlyArray<{name: string; keyHash: string}>;
  [field: string]: unknown;
}

/** Options of {@link startEntryFleet}. */
export interface EntryFleetOptions {
  /** Number of entry VMs. */
  entries: number;
  /** Number of targets. */
  targets: number;
  /** Work time in ms of a request that does not specify one. */
  workMs: number;
  /** Contracts to store before the fleet is used. */
  contracts: readonly ContractDocument[];
}

const SERVICE = 'portal';
const DATA_CENTRE = 'limoilou';
const MAX_READY_ATTEMPTS = 200;

/** Path of the measured service on an entry. */
export const SERVICE_PATH = `/v1/services/${SERVICE}/work`;

/** Returns the API key of a caller in measurements. */
export function callerKey(customer: string, caller: string): string {
  return `key-of-${customer}-${caller}`;
}

/**
 * Returns the callers of a contract document, each with the hash of its
 * {@link callerKey}.
 */
export function createCallerEntries(
  customer: string,
  names: readonly string[],
): Array<{name: string; keyHash: string}> {
  return names.map((name) => ({
    name,
    keyHash: hashKey(callerKey(customer, name)),
  }));
}

/**
 * Starts entry processes and simulated targets in one data centre, and waits
 * until each entry serves the customer of each contract.
 */
export async function startEntryFleet(
  options: EntryFleetOptions,
): Promise<Fleet> {
  const {entries, targets, workMs, contracts} = options;
  const fleet = await Fleet.start({
    folder: mkdtempSync(join(tmpdir(), 'banyanmux-measure-')),
    dataCentres: [
      {
        name: DATA_CENTRE,
        entryVms: entries,
        targets,
        racks: 0,
        workersPerRack: 0,
      },
    ],
    service: SERVICE,
    targetsPerShard: 1,
    targetWorkMs: workMs,
    withSchedulers: false,
  });
  try {
    await fleet.waitUntilReady();
    for (const contract of contracts) {
      await storeContract(fleet.platformPort, contract);
    }
    for (const contract of contracts) await waitUntilServed(fleet, contract);
    return fleet;
  } catch (error) {
    await fleet.stop();
    throw error;
  }
}

/** Returns the HTTP origins of all entries of a fleet. */
export function entryOrigins(fleet: Fleet): string[] {
  return fleet.members.map(({member}) => fleet.entryOrigin(member));
}

/** Returns the name and HTTP origin of each target of a fleet. */
export function targetOrigins(fleet: Fleet): Array<[string, string]> {
  return fleet.vms
    .filter(({kind}) => kind === 'target')
    .map(({vm, host, port}) => [vm, `http://${host}:${port}`]);
}

async function waitUntilServed(
  fleet: Fleet,
  contract: ContractDocument,
): Promise<void> {
  const {customer, callers} = contract;
  for (const origin of entryOrigins(fleet)) {
    const key = callerKey(customer, callers[0]!.name);
    const caller = new Caller({origins: [origin], key, service: SERVICE});
    for (let attempt = 1; ; attempt++) {
      const result = await caller.call({workMs: 1});
      if (result.outcome === 'ran') break;
      if (attempt >= MAX_READY_ATTEMPTS) {
        throw new Error(
          `Cannot use entry ${origin}: ${JSON.stringify(result)}`,
        );
      }
      await sleep(50);
    }
    await caller.stop();
  }
}
