import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {ResultError} from '../result_codes/result_error.js';
import {CommitLog, encodeHead} from './commit_log.js';

const HEAD_KEY = 'banyanmux/main/head';
const OWNER_KEY = 'banyanmux/main/owner';

function beginTerm(store: MemoryStore): CommitLog {
  store.put(OWNER_KEY, Buffer.from('owner'));
  const token = store.revision;
  store.put(HEAD_KEY, encodeHead({token: 0, sequence: 0}));
  return new CommitLog({
    store,
    log: silentLog(),
    headKey: HEAD_KEY,
    ownerKey: OWNER_KEY,
    token,
    headRevision: store.revision,
  });
}

const change = (key: string, text: string): {key: string; value: Buffer} => ({
  key,
  value: Buffer.from(text),
});

test('a commit whose response is lost is applied once', async () => {
  // Guards against a retry whose conflict with its own first attempt is taken
  // for another owner.
  const store = new MemoryStore();
  const log = beginTerm(store);
  store.commitFaults.push('answer-lost');
  await log.commit([change('a', '1')]);
  await log.commit([change('a', '2')]);
  assert.equal((await store.read('a'))?.value.toString(), '2');
});

test('a delayed commit does not overwrite a later one', async () => {
  // Guards against a stale write that is applied after its retry.
  const store = new MemoryStore();
  const log = beginTerm(store);
  store.commitFaults.push('late');
  await log.commit([change('a', '1')]);
  await log.commit([change('a', '2')]);
  assert.deepEqual(
    store.applyDelayedTransactions().map(({kind}) => kind),
    ['conflict'],
  );
  assert.equal((await store.read('a'))?.value.toString(), '2');
});

test('writes of an earlier term fail after a new term begins', async () => {
  // Guards against two owners that assign tasks at the same time.
  const store = new MemoryStore();
  const earlier = beginTerm(store);
  const later = beginTerm(store);
  await assert.rejects(
    earlier.commit([change('a', 'earlier')]),
    (error: ResultError) => error.code.name === 'FENCED',
  );
  await later.commit([change('a', 'later')]);
  assert.equal((await store.read('a'))?.value.toString(), 'later');
});

test('a commit retries while the store is unavailable', async () => {
  // Guards against losing changes during a store outage.
  const store = new MemoryStore();
  const log = beginTerm(store);
  store.commitFaults.push('unavailable', 'unavailable');
  await log.commit([change('a', '1'), {key: 'b', value: undefined}]);
  assert.equal((await store.read('a'))?.value.toString(), '1');
});
