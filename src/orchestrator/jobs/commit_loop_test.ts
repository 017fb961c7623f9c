import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../../testing/memory_store.js';
import {silentLog} from '../../../testing/silent_log.js';
import {sleep} from '../../clock/sleep.js';
import {CommitLog, encodeHead} from '../../leadership/commit_log.js';
import {MetadataStore, StoreTransaction} from '../../store/metadata_store.js';
import {CommitLoop} from './commit_loop.js';
import {CommitBatch} from '../orchestrator_effects.js';

const CHAINS = 4;

interface Fixture {
  loop: CommitLoop;
  /** Numbers of the batches in the order in which they were sent. */
  sent: string[];
  /** Lets the store answer a batch. */
  answer: (batch: string) => void;
  stored: string[];
  fenced: Error[];
}

/** Creates a loop with pending batches and a store that answers on request. */
function createLoop(store: MemoryStore, rounds: string[][]): Fixture {
  const sent: string[] = [];
  const stored: string[] = [];
  const fenced: Error[] = [];
  const waiting = new Map<string, () => void>();
  const slowStore = {
    commit: async (transaction: StoreTransaction) => {
      const batch = transaction.write[1]!.key;
      sent.push(batch);
      await new Promise<void>((resolve) => waiting.set(batch, resolve));
      return store.commit(transaction);
    },
  } as unknown as MetadataStore;
  store.put('owner', Buffer.from(''));
  const token = store.revision;
  const commitLogs = Array.from({length: CHAINS}, (_, number) => {
    store.put(`head${number}`, encodeHead({token: 0, sequence: 0}));
    return new CommitLog({
      store: slowStore,
      log: silentLog(),
      headKey: `head${number}`,
      ownerKey: 'owner',
      token,
      headRevision: store.revision,
    });
  });
  const batchOf = (key: string): CommitBatch => ({
    changes: [{key, value: Buffer.from('')}],
    onStored: () => stored.push(key),
  });
  const loop = new CommitLoop({
    commitLogs,
    hasPending: () => rounds.length > 0,
    takePending: () => ({
      batches: rounds.shift()!.map(batchOf),
      onStored: () => stored.push('round'),
    }),
    onFenced: (error) => fenced.push(error),
  });
  const answer = (batch: string): void => waiting.get(batch)!();
  return {loop, sent, answer, stored, fenced};
}

test('batches of a round do not wait for each other', async () => {
  // Guards against an owner whose starts wait for many responses in a row, each
  // of which it reads late.
  const store = new MemoryStore();
  const {loop, sent, answer, stored} = createLoop(store, [
    ['a', 'b', 'c', 'd', 'e'],
  ]);
  loop.request();
  await sleep(30);
  assert.deepEqual(sent, ['a', 'b', 'c', 'd']);
  answer('c');
  await sleep(5);
  assert.deepEqual(stored, ['c']);
  assert.deepEqual(sent, ['a', 'b', 'c', 'd', 'e']);
  loop.stop();
});

test('a round begins only after all batches of the last one are stored', async () => {
  // Guards against an older state of a job that is written over a later one, and
  // against ends that are acknowledged before they are stored.
  const store = new MemoryStore();
  const {loop, sent, answer, stored} = createLoop(store, [['a', 'b'], ['a2']]);
  const committed = loop.whenCommitted();
  await sleep(30);
  answer('b');
  await sleep(5);
  assert.deepEqual(sent, ['a', 'b']);
  assert.deepEqual(stored, ['b']);
  answer('a');
  await committed;
  await sleep(5);
  assert.deepEqual(stored, ['b', 'a', 'round']);
  assert.deepEqual(sent, ['a', 'b', 'a2']);
  loop.stop();
});

test('a conflict on one chain ends the term', async () => {
  // Guards against an owner that goes on after another one has taken over.
  const store = new MemoryStore();
  const {loop, answer, stored, fenced} = createLoop(store, [['a', 'b']]);
  loop.request();
  await sleep(30);
  store.put('head1', encodeHead({token: 99, sequence: 1}));
  answer('b');
  await sleep(5);
  assert.equal(fenced.length, 1);
  assert.deepEqual(stored, []);
  loop.stop();
});
