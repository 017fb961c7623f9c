import assert from 'node:assert/strict';
import {after, test} from 'node:test';

import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {freePorts} from '../../testing/free_ports.js';
import {MemoryStore, StoreFault} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
} from '../../testing/simple_definitions.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {OwnerRecord} from '../leadership/owner_record.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {SeededRandom} from '../random/seeded_random.js';
import {JobState} from '../orchestrator/jobs/job_state.js';
import {JobPhase} from '../work/job_definition.js';
import {CancelledJobs} from '../work/cancelled_jobs.js';
import {JobTable} from '../work/job_table.js';
import {JobGateway} from './job_gateway.js';
import {OwnedJobs} from './owner_client.js';
import {OwnerLinkServer} from './owner_link_server.js';
import {OwnerLink} from './owner_link.js';

const ID = '5c0e7a21d94b36f8';
const cleanups: Array<() => unknown> = [];
after(async () => {
  for (const cleanup of cleanups) await cleanup();
});

interface TestNode {
  table: JobTable;
  gateway: JobGateway;
  link: OwnerLink;
  state: {
    isStoreReachable: boolean;
    handOverTokens: number[];
    ownedJobs?: OwnedJobs;
  };
}

function createNode(name: string, store: MemoryStore): TestNode {
  const clock = new SystemClock();
  const log = silentLog();
  const keys = new PartitionKeys('main');
  const table = new JobTable(keys);
  const state: TestNode['state'] = {
    isStoreReachable: true,
    handOverTokens: [],
  };
  const link = new OwnerLink({
    clock,
    log,
    random: new SeededRandom(1),
    identity: createIdentity(name),
    onDisconnect: () => undefined,
    onOwnerExited: () => undefined,
    onHandOver: (token) => state.handOverTokens.push(token),
  });
  const gateway = new JobGateway({
    store,
    clock,
    log,
    keys,
    table,
    cancelledJobs: new CancelledJobs({clock, log, keys, table}),
    owner: link,
    isStoreReachable: () => state.isStoreReachable,
    ownedJobs: () => state.ownedJobs,
  });
  gateway.configure(simpleConfiguration());
  cleanups.push(() => link.stop());
  return {table, gateway, link, state};
}

function createIdentity(member: string): {
  member: string;
  incarnation: string;
  role: string;
  dataCentre: string;
} {
  return {member, incarnation: member, role: 'node', dataCentre: 'levis'};
}

async function createOwner(
  store: MemoryStore,
): Promise<{owner: OwnerRecord; server: OwnerLinkServer; node: TestNode}> {
  const node = createNode('owner', store);
  const [port] = await freePorts(1);
  const owner = {node: 'owner', host: '127.0.0.1', port: port!, linkToken: 'x'};
  const server = new OwnerLinkServer({
    clock: new SystemClock(),
    log: silentLog(),
    identity: createIdentity('owner'),
    owner,
    table: node.table,
    gateway: node.gateway,
    ownedJobs: () => node.state.ownedJobs,
  });
  node.state.ownedJobs = {countPending: () => 7, explain: () => undefined};
  await server.listen();
  cleanups.push(() => server.stop());
  return {owner, server, node};
}

async function waitFor(isMet: () => boolean): Promise<void> {
  for (let round = 0; round < 400 && !isMet(); round++) await sleep(5);
  assert.ok(isMet());
}

test('a node that cannot reach the store accepts jobs through the owner', async () => {
  // Guards against refused submissions and cancellations when the store is
  // unreachable for some nodes only.
  const store = new MemoryStore();
  const {owner, node: ownerNode} = await createOwner(store);
  const node = createNode('other', store);
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  node.state.isStoreReachable = false;
  const result = await node.gateway.submit(simpleJob(ID));
  assert.equal(result.code.name, 'ACCEPTED');
  assert.ok(await store.read(new PartitionKeys('main').submission(ID)));
  const cancelled = await node.gateway.cancel(ID);
  assert.equal(cancelled.code.name, 'CANCELLED');
  assert.equal(ownerNode.table.phaseOf(ID), JobPhase.CANCELLED);
});

test('a relayed lookup of an unknown job returns an error and no phase', async () => {
  // Guards against treating an error of the owner as the phase of a job.
  const store = new MemoryStore();
  const {owner} = await createOwner(store);
  const node = createNode('other', store);
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  node.state.isStoreReachable = false;
  const missing = await node.gateway.getPhase(ID);
  assert.equal(missing.code.name, 'NOT_FOUND');
  store.isDown = true;
  const unknown = await node.gateway.getPhase(ID);
  assert.equal(unknown.code.name, 'PLATFORM_UNAVAILABLE');
  assert.equal(unknown.phase, undefined);
  const cancelled = await node.gateway.cancel(ID);
  assert.equal(cancelled.code.name, 'PLATFORM_UNAVAILABLE');
});

test('a relayed submission in doubt is not reported as refused', async () => {
  // Guards against PLATFORM_UNAVAILABLE for a job that the store commits after
  // the owner's request has failed.
  const store = new MemoryStore();
  const {owner} = await createOwner(store);
  const node = createNode('other', store);
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  node.state.isStoreReachable = false;
  store.commitFaults.push(
    'late',
    ...Array<StoreFault>(100).fill('unavailable'),
  );
  const result = await node.gateway.submit(simpleJob(ID), 1000);
  assert.equal(result.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  const attempts = 101 - store.commitFaults.length;
  assert.ok(attempts > 1 && attempts <= 20, `${attempts} attempts`);
  const repeated = await node.gateway.submit(simpleJob(ID), 1000);
  assert.equal(repeated.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
});

test('the owner answers for phases and waiting jobs over its links', async () => {
  // Guards against outdated answers of nodes that mirror no progress, and
  // checks that an earlier phase does not replace a final one.
  const store = new MemoryStore();
  const {owner, node: ownerNode} = await createOwner(store);
  const node = createNode('other', store);
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  await node.gateway.submit(simpleJob(ID));
  await waitFor(() => ownerNode.table.phaseOf(ID) === JobPhase.QUEUED);
  ownerNode.table.recordPhase(ID, JobPhase.RUNNING);
  assert.equal((await node.gateway.getPhase(ID)).phase, JobPhase.RUNNING);
  ownerNode.table.recordPhase(ID, JobPhase.SUCCEEDED);
  assert.equal((await node.gateway.getPhase(ID)).phase, JobPhase.SUCCEEDED);
  node.table.recordPhase(ID, JobPhase.RUNNING);
  assert.equal(node.table.phaseOf(ID), JobPhase.SUCCEEDED);
  const [queue] = simpleConfiguration().queues;
  assert.equal((await node.gateway.getPendingCount(queue!)).pending, 7);
});

test('a node explains a job by the answer of the owner', async () => {
  // Guards against an explanation that only the owner itself gives, since an
  // engineer does not know which node that is.
  const store = new MemoryStore();
  const {owner, node: ownerNode} = await createOwner(store);
  const orchestrator = createOrchestrator();
  orchestrator.addJob(new JobState(simpleJob(ID), 0));
  ownerNode.state.ownedJobs = orchestrator;
  const node = createNode('other', store);
  assert.equal((await node.gateway.explain(ID)).code.name, 'NO_OWNER');
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  const {code, explanation} = await node.gateway.explain(ID);
  assert.equal(code.name, 'OK');
  assert.equal(explanation?.job, ID);
  assert.equal(explanation.steps[0]?.search?.suitable, 0);
  const unknown = await node.gateway.explain('0000000000000001');
  assert.equal(unknown.code.name, 'NOT_FOUND');
});

test('an owner that cannot reach the store requests replacement by a linked node', async () => {
  // Guards against seconds without an owner when the store is unreachable for
  // the owner only.
  const {owner, server} = await createOwner(new MemoryStore());
  const node = createNode('other', new MemoryStore());
  node.link.setOwner(owner);
  await waitFor(() => node.link.isOpen);
  server.requestHandOver(17);
  await waitFor(() => node.state.handOverTokens.length > 0);
  assert.deepEqual(node.state.handOverTokens, [17]);
});
