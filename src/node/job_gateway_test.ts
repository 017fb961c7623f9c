import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {JobPhase} from '../work/job_definition.js';
import {encodeProgress} from '../work/job_records.js';
import {JobTable} from '../work/job_table.js';
import {JobGateway, OwnerClient} from './job_gateway.js';

const ID = '5c0e7a21d94b36f8';

interface Fixture {
  store: MemoryStore;
  table: JobTable;
  gateway: JobGateway;
  state: {isStoreReachable: boolean};
}

function createOwnerClient(): OwnerClient {
  return {
    isOpen: false,
    send: () => undefined,
    request: () => Promise.reject(new Error('no owner')),
  };
}

function createFixture(store = new MemoryStore()): Fixture {
  const keys = new PartitionKeys('main');
  const table = new JobTable(keys);
  const state = {isStoreReachable: true};
  const gateway = new JobGateway({
    store,
    clock: new ManualClock(),
    log: silentLog(),
    keys,
    table,
    isStoreReachable: () => state.isStoreReachable,
    owner: createOwnerClient(),
  });
  gateway.configure(simpleConfiguration());
  return {store, table, gateway, state};
}

test('a job that is submitted again elsewhere stays one job', async () => {
  // Guards against a repeat that replaces the first submission.
  const first = createFixture();
  const second = createFixture(first.store);
  await first.gateway.submit(simpleJob(ID, {specification: 'first'}));
  const result = await second.gateway.submit(
    simpleJob(ID, {specification: 'second'}),
  );
  assert.equal(result.code.name, 'ACCEPTED');
  const entry = second.table.entries.get(ID);
  assert.equal(entry?.submission?.definition.specification, 'first');
});

test('"not accepted" is only said if the job can never be stored', async () => {
  // Guards against a refusal of a job that runs later.
  const {gateway, store, state} = createFixture();
  store.commitFaults.push('late');
  const uncertain = await gateway.submit(simpleJob(ID), 1);
  assert.equal(uncertain.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  store.commitFaults.push('late', 'unavailable');
  const stillUncertain = await gateway.submit(simpleJob(ID));
  assert.equal(stillUncertain.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  store.commitFaults.push('unavailable');
  const refused = await gateway.submit(simpleJob(ID));
  assert.equal(refused.code.name, 'PLATFORM_UNAVAILABLE');
  state.isStoreReachable = false;
  const unreachable = await gateway.submit(simpleJob(ID));
  assert.equal(unreachable.code.name, 'PLATFORM_UNAVAILABLE');
  assert.ok((unreachable.retryAfterMs ?? 0) > 0);
});

test('a submission in doubt is repeated while its caller waits', async () => {
  // Guards against a job that is stored twice or reported as not accepted.
  const {gateway, store} = createFixture();
  store.commitFaults.push('answer-lost');
  const result = await gateway.submit(simpleJob(ID));
  assert.equal(result.code.name, 'ACCEPTED');
});

test('a node tells the state of a job that another one accepted', async () => {
  // Guards against "no such job" before the mirror has caught up.
  const first = createFixture();
  await first.gateway.submit(simpleJob(ID));
  const second = createFixture(first.store);
  assert.equal((await second.gateway.getPhase(ID)).phase, JobPhase.QUEUED);
  const unknown = await second.gateway.getPhase('0000000000000000');
  assert.equal(unknown.code.name, 'NOT_FOUND');
});

test('a cancelled job is shown as cancelled unless it had ended', async () => {
  // Guards against a cancellation that hides a success.
  const {gateway, table, store} = createFixture();
  const keys = new PartitionKeys('main');
  await gateway.submit(simpleJob(ID));
  await gateway.cancel(ID);
  assert.equal(table.phaseOf(ID), JobPhase.CANCELLED);
  const value = encodeProgress({phase: JobPhase.SUCCEEDED, occurrences: []});
  table.apply({key: keys.progress(ID), value, revision: store.revision + 1});
  assert.equal(table.phaseOf(ID), JobPhase.SUCCEEDED);
});

test('an older configuration does not replace a newer one', () => {
  // Guards against a route that comes back after its removal.
  const {gateway} = createFixture();
  gateway.configure({...simpleConfiguration(), version: 5, queues: []});
  gateway.configure({...simpleConfiguration(), version: 4});
  assert.equal(gateway.findQueue('host', '/queue/x'), undefined);
});
