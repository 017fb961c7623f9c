import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  createGateway,
  createOwnerClient,
  GatewayFixture,
} from '../../testing/create_gateway.js';
import {simpleJob} from '../../testing/simple_definitions.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {JobPhase} from '../work/job_definition.js';
import {encodeProgress} from '../work/job_records.js';
import {MAX_CANCELLED_IDS} from '../work/cancelled_jobs_record.js';
import {SUBMISSION_LIFETIME_MS} from '../work/submission_lifetime.js';
import {OwnerClient} from './owner_client.js';

const ID = '5c0e7a21d94b36f8';
const KEYS = new PartitionKeys('main');

/** ID whose cancellation is stored in the same list as that of {@link ID}. */
const SAME_LIST_ID = findIdsOfList(KEYS.cancelledIds(ID), 1)[0]!;

/** Time left in ms in which a submission is tried only once. */
const ONE_ATTEMPT_MS = 1;

function findIdsOfList(key: string, count: number): string[] {
  const ids: string[] = [];
  for (let number = 0; ids.length < count; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    if (KEYS.cancelledIds(id) === key) ids.push(id);
  }
  return ids;
}

/** Creates two gateways of one store. */
function createPair(): [GatewayFixture, GatewayFixture] {
  const first = createGateway();
  return [first, createGateway({store: first.store})];
}

/** Brings a gateway up to date, as its mirror does. */
async function reloadTable(fixture: GatewayFixture): Promise<void> {
  const {store, table, cancelledJobs} = fixture;
  const {items} = await store.list(KEYS.prefix);
  for (const item of items) {
    if (!cancelledJobs.apply(item)) table.apply(item);
  }
}

test('a late write does not store a job after its cancellation', async () => {
  // Guards against a job that runs after its cancelling was answered, since a
  // write of its submission was still on its way to the store.
  const [first, second] = createPair();
  first.store.commitFaults.push('late');
  const submitted = await first.gateway.submit(simpleJob(ID), ONE_ATTEMPT_MS);
  assert.equal(submitted.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  assert.equal((await second.gateway.cancel(ID)).code.name, 'NOT_FOUND');
  const [late] = first.store.applyDelayedTransactions();
  assert.equal(late?.kind, 'conflict');
  assert.equal(await first.store.read(KEYS.submission(ID)), undefined);
});

test('a cancelled job is not accepted later, and is unknown to any node', async () => {
  // Guards against a submission that a node or a client repeats after the
  // cancelling of the job was answered.
  const [first, second] = createPair();
  await second.gateway.cancel(ID);
  for (const {gateway} of [first, second]) {
    const {code, retryAfterMs} = await gateway.submit(simpleJob(ID));
    assert.equal(code.name, 'JOB_CANCELLED');
    assert.equal(retryAfterMs, undefined);
    assert.equal((await gateway.getPhase(ID)).code.name, 'NOT_FOUND');
    assert.equal((await gateway.cancel(ID)).code.name, 'NOT_FOUND');
  }
});

test('a submission in doubt ends with the cancellation of its job', async () => {
  // Guards against a node that goes on repeating a submission, or calls its
  // outcome unknown, after the job was cancelled through another node.
  const [first, second] = createPair();
  first.store.lateKey = KEYS.submission(ID);
  const submitting = first.gateway.submit(simpleJob(ID), 10_000);
  await second.gateway.cancel(ID);
  first.store.lateKey = undefined;
  assert.equal((await submitting).code.name, 'JOB_CANCELLED');
});

test('a relayed submission of a cancelled job is refused as such', async () => {
  // Guards against a relay that reports a cancelled job as possibly accepted.
  const owner: OwnerClient = {
    ...createOwnerClient(),
    isOpen: true,
    request: () => Promise.resolve({code: ResultCodes.JOB_CANCELLED}),
  };
  const {gateway, store} = createGateway({owner});
  store.commitFaults.push('late');
  const {code} = await gateway.submit(simpleJob(ID));
  assert.equal(code.name, 'JOB_CANCELLED');
});

test('a late cancellation takes effect on a job that was stored before it', async () => {
  // Guards against a cancellation that is lost because the submission overtook
  // it on the way to the store.
  const [first, second] = createPair();
  first.store.commitFaults.push('late');
  const cancelled = await second.gateway.cancel(ID);
  assert.equal(cancelled.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  const submitted = await first.gateway.submit(simpleJob(ID));
  assert.equal(submitted.code.name, 'ACCEPTED');
  first.store.applyDelayedTransactions();
  await reloadTable(first);
  assert.equal((await first.gateway.getPhase(ID)).phase, JobPhase.CANCELLED);
});

test('a successor learns the cancellation before the job', async () => {
  // Guards against an owner that starts a cancelled job because it reads the
  // cancellation of a job that it does not know.
  const [first, second] = createPair();
  await second.gateway.cancel(ID);
  await reloadTable(first);
  let isCancelled = false;
  first.table.setListener({
    onSubmitted: (_jobId, entry) => (isCancelled = entry.isCancelled),
    onCancelled: () => undefined,
  });
  const definition = simpleJob(ID);
  first.table.addSubmission(ID, {definition, acceptedWallMs: 0});
  assert.ok(isCancelled);
});

test('a write that was sent before a cancellation is never carried out', async () => {
  // Guards against a job that is stored once its cancellation is not kept any
  // more, by a write that was sent before.
  const [first, second] = createPair();
  first.store.commitFaults.push('late');
  await first.gateway.submit(simpleJob(ID), ONE_ATTEMPT_MS);
  await second.gateway.cancel(ID);
  second.clock.advance(SUBMISSION_LIFETIME_MS);
  await second.gateway.cancel(SAME_LIST_ID);
  assert.ok(!second.cancelledJobs.has(ID));
  const [late] = first.store.applyDelayedTransactions();
  assert.equal(late?.kind, 'conflict');
});

test('a cancellation without a job is kept as long as a submission lasts', async () => {
  // Guards against a cancellation that is removed while a node repeats the
  // submission, and against IDs that stay in the store and in memory for good.
  const [first, second] = createPair();
  await first.gateway.cancel(ID);
  await reloadTable(second);
  second.clock.advance(SUBMISSION_LIFETIME_MS - 1);
  await second.gateway.cancel(SAME_LIST_ID);
  await reloadTable(first);
  const {code} = await first.gateway.submit(simpleJob(ID));
  assert.equal(code.name, 'JOB_CANCELLED');
  second.clock.advance(1);
  await second.gateway.cancel(SAME_LIST_ID);
  await reloadTable(first);
  for (const {table} of [first, second]) {
    assert.deepEqual([...table.entries.keys()], [SAME_LIST_ID]);
  }
});

test('a repeated cancellation is kept as long as a new one', async () => {
  // Guards against a cancellation that was answered again, and is removed soon
  // after.
  const {gateway, clock, cancelledJobs} = createGateway();
  await gateway.cancel(ID);
  clock.advance(SUBMISSION_LIFETIME_MS - 1);
  await gateway.cancel(ID);
  clock.advance(1);
  await gateway.cancel(SAME_LIST_ID);
  assert.ok(cancelledJobs.has(ID));
});

test('a submission is stored although its list of cancelled IDs has changed', async () => {
  // Guards against a job that is refused, or reported as possibly accepted,
  // because another ID was cancelled that this node does not know of.
  const [first, second] = createPair();
  await second.gateway.cancel(SAME_LIST_ID);
  const {code} = await first.gateway.submit(simpleJob(ID));
  assert.equal(code.name, 'ACCEPTED');
});

test('a list that cannot be read refuses no job and is replaced', async () => {
  // Guards against a value of another writer that keeps jobs from being stored
  // or cancelled.
  const {gateway, store, cancelledJobs} = createGateway();
  store.put(KEYS.cancelledIds(ID), Buffer.from([0xff]));
  const submitted = await gateway.submit(simpleJob(SAME_LIST_ID));
  assert.equal(submitted.code.name, 'ACCEPTED');
  assert.equal((await gateway.cancel(ID)).code.name, 'NOT_FOUND');
  assert.ok(cancelledJobs.has(ID));
});

test('the cancellation of an ended job leaves nothing in the store', async () => {
  // Guards against a key that nobody removes, since the records of the job are
  // removed before the cancellation is stored.
  const {gateway, store} = createGateway();
  await gateway.submit(simpleJob(ID));
  const phase = JobPhase.SUCCEEDED;
  store.put(
    KEYS.progress(ID),
    encodeProgress({version: 1, phase, occurrences: []}),
  );
  assert.equal((await gateway.cancel(ID)).code.name, 'CANCELLED');
  assert.equal(await store.read(KEYS.cancellation(ID)), undefined);
  assert.equal((await gateway.getPhase(ID)).phase, phase);
});

test('cancellations of unknown jobs are limited, those of jobs are not', async () => {
  // Guards against a client that fills the store, its write rate and the memory
  // of all nodes with cancellations of made-up IDs.
  const {gateway, table, clock} = createGateway();
  await gateway.submit(simpleJob(ID));
  const results = [];
  for (let number = 0; number < 200; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    results.push(await gateway.cancel(id));
  }
  const refused = results.filter(({code}) => code.httpStatus === 429);
  assert.equal(refused.length, 180);
  assert.equal(table.entries.size, 21);
  assert.equal((await gateway.cancel(ID)).code.name, 'CANCELLED');
  clock.advance(refused[0]!.retryAfterMs!);
  const retried = await gateway.cancel('ffffffffffffffff');
  assert.equal(retried.code.name, 'NOT_FOUND');
});

test('a full list of cancelled IDs refuses until it has room again', async () => {
  // Guards against a list that grows with IDs that were chosen to share it, and
  // against a Retry-After at which it is still full.
  const {gateway, table, clock} = createGateway();
  const ids = findIdsOfList(KEYS.cancelledIds(ID), 30);
  const results = [];
  for (const id of ids) {
    clock.advance(1000);
    results.push(await gateway.cancel(id));
  }
  const refused = results.filter(({code}) => code.httpStatus === 429);
  assert.equal(refused.length, ids.length - MAX_CANCELLED_IDS);
  assert.equal(table.entries.size, MAX_CANCELLED_IDS);
  clock.advance(refused.at(-1)!.retryAfterMs!);
  const retried = await gateway.cancel(ids.at(-1)!);
  assert.equal(retried.code.name, 'NOT_FOUND');
});

test('a node without the store cancels through the owner, or not at all', async () => {
  // Guards against NOT_FOUND from a node that could not store the cancellation.
  const owner = {...createOwnerClient(), isOpen: true};
  const {gateway, store, state} = createGateway({owner});
  store.isDown = true;
  state.isStoreReachable = false;
  const code = ResultCodes.NOT_FOUND;
  owner.request = () => Promise.resolve({code});
  assert.equal((await gateway.cancel(ID)).code.name, 'NOT_FOUND');
  owner.request = (name) =>
    name === 'phase' ? Promise.resolve({code}) : Promise.reject(new Error());
  const unanswered = await gateway.cancel(ID);
  assert.equal(unanswered.code.name, 'MAY_HAVE_BEEN_ACCEPTED');
  owner.isOpen = false;
  const unavailable = await gateway.cancel(ID);
  assert.equal(unavailable.code.name, 'PLATFORM_UNAVAILABLE');
});
