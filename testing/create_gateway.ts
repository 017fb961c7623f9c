import {ManualClock} from '../src/clock/manual_clock.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {JobGateway} from '../src/node/job_gateway.js';
import {OwnerClient} from '../src/node/owner_client.js';
import {CancelledJobs} from '../src/work/cancelled_jobs.js';
import {JobSizeLimits} from '../src/work/job_size.js';
import {JobTable} from '../src/work/job_table.js';
import {MemoryStore} from './memory_store.js';
import {silentLog} from './silent_log.js';
import {simpleConfiguration} from './simple_definitions.js';

/** A gateway with its surroundings. */
export interface GatewayFixture {
  store: MemoryStore;
  table: JobTable;
  cancelledJobs: CancelledJobs;
  gateway: JobGateway;
  clock: ManualClock;
  /** Whether the gateway takes the store for reachable; may be changed. */
  state: {isStoreReachable: boolean};
}

/** Options of {@link createGateway}. */
export interface CreateGatewayOptions {
  /** @default an empty store */
  store?: MemoryStore;
  /** @default no link to an owner */
  owner?: OwnerClient;
  /** @default none */
  limits?: JobSizeLimits;
}

/** Creates a client of an owner to which there is no link. */
export function createOwnerClient(): OwnerClient {
  return {
    isOpen: false,
    send: () => undefined,
    request: () => Promise.reject(new Error('no owner')),
  };
}

/** Creates a gateway of a node that does not own the partition. */
export function createGateway(
  options: CreateGatewayOptions = {},
): GatewayFixture {
  const {store = new MemoryStore(), owner = createOwnerClient()} = options;
  const {limits} = options;
  const keys = new PartitionKeys('main');
  const table = new JobTable(keys);
  const state = {isStoreReachable: true};
  const clock = new ManualClock();
  const log = silentLog();
  const cancelledJobs = new CancelledJobs({clock, log, keys, table});
  const gateway = new JobGateway({
    store,
    clock,
    log,
    keys,
    table,
    cancelledJobs,
    limits,
    isStoreReachable: () => state.isStoreReachable,
    owner,
    ownedJobs: () => undefined,
  });
  gateway.configure(simpleConfiguration());
  return {store, table, cancelledJobs, gateway, clock, state};
}
