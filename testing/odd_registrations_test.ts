import assert from 'node:assert/strict';
import {statSync} from 'node:fs';
import {after, before, test} from 'node:test';

import {sleep} from '../src/clock/sleep.js';
import {FleetJobs} from './fleet_jobs.js';
import {NodeFleet, versionRoutePrefix} from './node_fleet.js';
import {oddRegistrations} from './odd_entries.js';

/** Limit in MB on the heap of a node, as in the deploy file. */
const HEAP_LIMIT_MB = 200;

/** Size in bytes that the log of a node stays below. */
const MOST_LOG_BYTES = 2_000_000;

const fleet = new NodeFleet({nodes: 2, workers: 2, heapLimitMb: HEAP_LIMIT_MB});

const jobs = new FleetJobs(fleet);

/** Process ids that the nodes have as long as none has ended. */
let processIds: ReadonlyArray<number | undefined> = [];

before(async () => {
  // One half is in the store when the first owner reads the list.
  putOddRegistrations((number) => number % 2 === 0);
  await fleet.start();
  processIds = fleet.nodes.map(({process}) => process.pid);
});
after(() => fleet.stop());

function putOddRegistrations(isIncluded: (number: number) => boolean): void {
  [...oddRegistrations().values()].forEach((value, number) => {
    if (isIncluded(number)) {
      fleet.store.store.put(`servers/odd-${number}`, value);
    }
  });
}

function checkProcesses(): void {
  fleet.nodes.forEach(({process, logFile}, number) => {
    assert.equal(process.pid, processIds[number], `${process.name} has ended`);
    const {size} = statSync(logFile);
    assert.ok(size < MOST_LOG_BYTES, `${process.name} logged ${size} bytes`);
  });
  assert.deepEqual(fleet.violations, []);
}

test('jobs run although the list of workers holds odd entries', async () => {
  // Guards against one odd entry that ends each process which reads the list.
  await jobs.run(fleet.nodes[0]!);
  checkProcesses();
});

test('the list of workers is followed after odd entries', async () => {
  // Guards against a mirror that stops at an entry it cannot use.
  const [worker, other] = fleet.workers;
  fleet.resizeWorker(worker!, 0);
  fleet.resizeWorker(other!, 0);
  putOddRegistrations(() => true);
  fleet.resizeWorker(other!, 8000);
  await jobs.run(fleet.nodes[1]!);
  assert.ok(other!.startCount > 0);
  fleet.resizeWorker(worker!, 8000);
  checkProcesses();
});

test('a worker whose entry becomes unreadable gets no new work', async () => {
  // Guards against nodes that use what an entry said before: one that reads the
  // list now does not know the worker, and they would decide differently.
  const [worker, other] = fleet.workers;
  const [node] = fleet.nodes;
  fleet.resizeWorker(other!, 0);
  await sleep(500);
  const odd = oddRegistrations().get('unknown state')!;
  fleet.store.store.put(`servers/${worker!.id}`, odd);
  await sleep(500);
  const id = await jobs.submit(node!);
  await sleep(1500);
  assert.equal(await jobs.stateOf(node!, id), 'queued');
  fleet.resizeWorker(worker!, 8000);
  await jobs.waitForSuccess(node!, id);
  fleet.resizeWorker(other!, 8000);
  checkProcesses();
});

test('a successor takes over beside odd entries', async () => {
  // Guards against odd entries that end each owner in turn.
  const {owner} = fleet;
  const other = fleet.nodes.find((node) => node !== owner)!;
  await owner.process.kill();
  await jobs.run(other);
  owner.process.start();
  await fleet.waitUntilReady(owner);
  processIds = fleet.nodes.map(({process}) => process.pid);
  await sleep(1000);
  checkProcesses();
});

test('the configuration in force stays beside odd ones', async () => {
  // Guards against a configuration of another writer that ends each node, or
  // after which no further one is read.
  const routes = `[${'1,'.repeat(350_000)}1]`;
  const texts = [
    `{"version":99,"routes":${routes},"services":[]}`,
    '{"version":1e308,"routes":[],"services":[]}',
    `{"version":99,"routes":[],"services":${routes}}`,
    '['.repeat(300_000) + ']'.repeat(300_000),
  ];
  for (const text of texts) {
    fleet.store.store.put('op/config', Buffer.from(text));
    await sleep(300);
  }
  await jobs.run(fleet.nodes[0]!);
  const prefix = versionRoutePrefix(fleet.publishConfiguration());
  const id = 'f'.repeat(16);
  let status = 404;
  for (let round = 0; round < 100 && status === 404; round++) {
    ({status} = await fleet.call(fleet.nodes[1]!, 'GET', {id, prefix}));
    await sleep(50);
  }
  assert.equal(status, 410);
  checkProcesses();
});

test('evacuations are followed after requests with odd names', async () => {
  // Guards against keys of another writer that stop the mirror of requests.
  const names = ['', 'a/b', '\n', '__proto__', 'é'.repeat(90)];
  for (const name of names) fleet.requestEvacuation(name);
  fleet.requestEvacuation('levis');
  await sleep(1000);
  const [node] = fleet.nodes;
  const id = await jobs.submit(node!);
  await sleep(1500);
  assert.equal(await jobs.stateOf(node!, id), 'queued');
  fleet.takeBackEvacuation('levis');
  await jobs.waitForSuccess(node!, id);
  checkProcesses();
});
