import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  createGateway,
  createOwnerClient,
} from '../../testing/create_gateway.js';
import {MemoryStore} from '../../testing/memory_store.js';
import {
  simpleConfiguration,
  simpleJob,
} from '../../testing/simple_definitions.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {JobPhase} from '../work/job_definition.js';
import {encodeProgress} from '../work/job_records.js';
import {SUBMISSION_LIFETIME_MS} from '../work/submission_lifetime.js';
import {OwnerClient} from './owner_client.js';

const ID = '5c0e7a21d94b36f8';
const OTHER_ID = '5c0e7a21d94b36f9';

async function storePhase(store: MemoryStore, phase: JobPhase): Promise<void> {
  const key = new PartitionKeys('main').progress(ID);
  const value = encodeProgress({version: 1, phase, occurrences: []});
  await store.commit({expect: [], write: [{key, value}]});
}

test('a repeated submission through another node keeps the first job', async () => {
  // Guards against a repeated submission that overwrites the first one.
  const first = createGateway();
  const second = createGateway({store: first.store});
  await first.gateway.submit(simpleJob(ID, {specification: 'first'}));
  const result = await second.gateway.submit(
    simpleJob(ID, {specification: 'second'}),
  );
  assert.equal(result.code.name, 'ACCEPTED');
  const entry = second.table.entries.get(ID);
  assert.equal(entry?.submission?.definition.specification, 'first');
});

test('a submission is refused only if the job cannot have been stored', async () => {
  // Guards against PLATFORM_UNAVAILABLE for a job that is stored and runs
  // later: a commit without a response may still be carried out.
  const {gateway, store, state} = createGateway();
  store.commitFaults.push('late');
  const uncertain = await gateway.submit(simpleJob(ID), 1);
  assert.equal(uncertain.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  store.commitFaults.push('late', 'unavailable');
  const stillUncertain = await gateway.submit(simpleJob(ID));
  assert.equal(stillUncertain.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  store.commitFaults.push('unavailable');
  const refused = await gateway.submit(simpleJob(OTHER_ID));
  assert.equal(refused.code.name, 'PLATFORM_UNAVAILABLE');
  state.isStoreReachable = false;
  const unreachable = await gateway.submit(simpleJob(OTHER_ID));
  assert.equal(unreachable.code.name, 'PLATFORM_UNAVAILABLE');
  assert.ok((unreachable.retryAfterMs ?? 0) > 0);
});

test('a repeated submission is not refused while an earlier write is under way', async () => {
  // Guards against "not accepted and never runs" for a job of which an earlier
  // write of this node is carried out later, also if the two overlap.
  const {gateway, store, clock} = createGateway();
  store.commitFaults.push('late');
  await gateway.submit(simpleJob(ID), 1);
  store.commitFaults.push('unavailable');
  const repeated = await gateway.submit(simpleJob(ID));
  assert.equal(repeated.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  store.lateKey = OTHER_ID;
  const first = gateway.submit(simpleJob(OTHER_ID), 1);
  store.lateKey = undefined;
  store.commitFaults.push('unavailable');
  const second = await gateway.submit(simpleJob(OTHER_ID));
  assert.equal(second.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  assert.equal((await first).code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  clock.advance(SUBMISSION_LIFETIME_MS);
  store.commitFaults.push('unavailable');
  const later = await gateway.submit(simpleJob(ID));
  assert.equal(later.code.name, 'PLATFORM_UNAVAILABLE');
});

test('a job in doubt is not refused for want of memory', async () => {
  // Guards against 429 for a job of which an earlier write may be carried out.
  const limits = {mostSteps: 100, mostTasks: 100, mostJobBytes: 10_000};
  const {gateway, store} = createGateway({limits});
  store.commitFaults.push('late');
  await gateway.submit(simpleJob(ID), 1);
  limits.mostJobBytes = 0;
  const repeated = await gateway.submit(simpleJob(ID));
  assert.equal(repeated.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  const other = await gateway.submit(simpleJob(OTHER_ID));
  assert.equal(other.code.name, 'QUEUE_FULL');
});

test('a submission in doubt is retried until the client deadline', async () => {
  // Guards against storing a job twice, or reporting it as not accepted, when
  // the response to a successful commit is lost.
  const {gateway, store} = createGateway();
  store.commitFaults.push('answer-lost');
  const result = await gateway.submit(simpleJob(ID));
  assert.equal(result.code.name, 'ACCEPTED');
});

test('a submission is relayed with a time that timers take', async () => {
  // Guards against a configured timeout so long that a timer takes it for none:
  // the relay failed at once, and was repeated without a pause.
  let relayedMs = 0;
  const owner: OwnerClient = {
    isOpen: true,
    send: () => undefined,
    request: (_name, _body, timeoutMs) => {
      relayedMs = timeoutMs;
      return Promise.resolve({code: ResultCodes.ACCEPTED});
    },
  };
  const {gateway, state} = createGateway({owner});
  state.isStoreReachable = false;
  const {code} = await gateway.submit(simpleJob(ID), 1e15);
  assert.equal(code.name, 'ACCEPTED');
  assert.ok(relayedMs > 0 && relayedMs < 2 ** 31, `${relayedMs} ms`);
});

test('a conflict that names no key does not refuse a job', async () => {
  // Guards against PLATFORM_UNAVAILABLE for a job that another node has stored.
  const {gateway, store} = createGateway();
  store.commit = () => Promise.resolve({kind: 'conflict', items: []});
  const {code} = await gateway.submit(simpleJob(ID), 1);
  assert.equal(code.name, 'MAY_HAVE_BEEN_ACCEPTED');
});

test('a submission is not relayed after the deadline of the client', async () => {
  // Guards against a job that is stored long after its client has given up: the
  // direct attempt takes longer than the time that is left.
  let relays = 0;
  const owner: OwnerClient = {
    isOpen: true,
    send: () => undefined,
    request: () => {
      relays += 1;
      return Promise.resolve({code: ResultCodes.ACCEPTED});
    },
  };
  const {gateway, store, clock} = createGateway({owner});
  const commit = store.commit.bind(store);
  store.commit = (transaction) => {
    clock.advance(1200);
    return commit(transaction);
  };
  store.commitFaults.push('late');
  const {code} = await gateway.submit(simpleJob(ID), 1000);
  assert.equal(code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  assert.equal(relays, 0);
});

test('a node returns the phase of a job that another node accepted', async () => {
  // Guards against NOT_FOUND for a job that the local mirror has not yet
  // received from the store.
  const first = createGateway();
  await first.gateway.submit(simpleJob(ID));
  const second = createGateway({store: first.store});
  assert.equal((await second.gateway.getPhase(ID)).phase, JobPhase.QUEUED);
  const unknown = await second.gateway.getPhase('0000000000000000');
  assert.equal(unknown.code.name, 'NOT_FOUND');
});

test('a cancelled job reports CANCELLED unless it has already ended', async () => {
  // Guards against a cancellation that masks the success of the job.
  const {gateway, store} = createGateway();
  await gateway.submit(simpleJob(ID));
  await gateway.cancel(ID);
  assert.equal((await gateway.getPhase(ID)).phase, JobPhase.CANCELLED);
  await storePhase(store, JobPhase.SUCCEEDED);
  assert.equal((await gateway.getPhase(ID)).phase, JobPhase.SUCCEEDED);
});

test('the phase comes from the store while no owner is linked', async () => {
  // Guards against a job that is shown as queued for good by a node that the
  // owner has not told about later phases.
  const {gateway, store} = createGateway();
  await gateway.submit(simpleJob(ID));
  await storePhase(store, JobPhase.RUNNING);
  assert.equal((await gateway.getPhase(ID)).phase, JobPhase.RUNNING);
  await storePhase(store, JobPhase.SUCCEEDED);
  store.isDown = true;
  const stale = await gateway.getPhase(ID);
  assert.equal(stale.phase, JobPhase.RUNNING);
  store.isDown = false;
  assert.equal((await gateway.getPhase(ID)).phase, JobPhase.SUCCEEDED);
});

test('the phase comes from the store if the owner does not answer', async () => {
  // Guards against failed state requests while the owner is paused.
  const owner = {...createOwnerClient(), isOpen: true};
  const {gateway, store} = createGateway({owner});
  await gateway.submit(simpleJob(ID));
  await storePhase(store, JobPhase.SUCCEEDED);
  assert.equal((await gateway.getPhase(ID)).phase, JobPhase.SUCCEEDED);
});

test('a count of waiting jobs is repeated briefly without an owner', async () => {
  // Guards against a wrong count of waiting jobs, and against one that stays
  // the same for as long as no owner answers.
  const owner = createOwnerClient();
  const {gateway, clock} = createGateway({owner});
  const [queue] = simpleConfiguration().queues;
  const unknown = await gateway.getPendingCount(queue!);
  assert.equal(unknown.code.name, 'NO_OWNER');
  assert.ok((unknown.retryAfterMs ?? 0) > 0);
  owner.request = () => Promise.resolve({code: ResultCodes.OK, pending: 2});
  assert.equal((await gateway.getPendingCount(queue!)).pending, 2);
  owner.request = () => Promise.reject(new Error('no owner'));
  clock.advance(1500);
  assert.equal((await gateway.getPendingCount(queue!)).pending, 2);
  clock.advance(1000);
  assert.equal((await gateway.getPendingCount(queue!)).code.name, 'NO_OWNER');
});

test('an older configuration does not replace a newer one', () => {
  // Guards against restoring a route that a newer configuration removed.
  const {gateway} = createGateway();
  gateway.configure({...simpleConfiguration(), version: 5, queues: []});
  gateway.configure({...simpleConfiguration(), version: 4});
  assert.equal(gateway.findQueue('host', '/queue/x'), undefined);
});
