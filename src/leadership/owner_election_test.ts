import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {SystemClock} from '../clock/system_clock.js';
import {SeededRandom} from '../random/seeded_random.js';
import {CommitLog, encodeHead} from './commit_log.js';
import {OwnerElection} from './owner_election.js';
import {decodeOwner} from './owner_record.js';
import {OwnerTerm} from './owner_term.js';
import {PartitionKeys} from './partition_keys.js';

const keys = new PartitionKeys('main');

interface Candidate {
  election: OwnerElection;
  terms: OwnerTerm[];
}

function createCandidate(
  store: MemoryStore,
  node: string,
  {termLeaseMs = 60_000, candidacyDelayMs = 0} = {},
): Candidate {
  const terms: OwnerTerm[] = [];
  const election = new OwnerElection({
    store,
    clock: new SystemClock(),
    log: silentLog(),
    random: new SeededRandom(node.length),
    keys,
    createRecord: () => ({node, host: '127.0.0.1', port: 1, linkToken: node}),
    termLeaseMs,
    candidacyDelayMs,
    isUnowned: () => true,
    onElected: (term) => terms.push(term),
  });
  return {election, terms};
}

async function ownerOf(store: MemoryStore): Promise<string | undefined> {
  const item = await store.read(keys.owner);
  return item && decodeOwner(item.value).node;
}

test('one of two candidates becomes owner of a partition without one', async () => {
  // Guards against two owners when all nodes start at the same time.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  const second = createCandidate(store, 'second');
  await Promise.all([first.election.check(), second.election.check()]);
  assert.equal(first.terms.length + second.terms.length, 1);
  await first.election.stop();
  await second.election.stop();
  assert.equal(await ownerOf(store), undefined);
});

test('a dead owner is replaced before its lease ends', async () => {
  // Guards against a partition that waits for the lease of an owner whose
  // process was killed.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  const second = createCandidate(store, 'second');
  await first.election.check();
  await second.election.replaceDeadOwner();
  assert.equal(await ownerOf(store), 'second');
  assert.ok(second.terms[0]!.token > first.terms[0]!.token);
  first.terms[0]!.end('test');
  await second.election.stop();
});

test('an owner that still commits is not replaced', async () => {
  // Guards against a takeover by a node that cannot reach a live owner.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  const second = createCandidate(store, 'second');
  await first.election.check();
  const replacing = second.election.replaceDeadOwner();
  const head = encodeHead({token: 1, sequence: 1});
  setTimeout(() => store.put(keys.head, head), 100);
  await replacing;
  assert.equal(await ownerOf(store), 'first');
  await first.election.stop();
});

/** Commits a change on each chain of a term; returns why they fail. */
async function commitOnEachChain(
  store: MemoryStore,
  {token}: OwnerTerm,
): Promise<string[]> {
  const change = {key: 'a', value: Buffer.from('')};
  const commits = keys.heads.map((headKey) =>
    new CommitLog({
      store,
      log: silentLog(),
      headKey,
      ownerKey: keys.owner,
      token,
      headRevision: token,
    })
      .commit([change])
      .then(
        () => 'committed',
        ({message}: Error) => message,
      ),
  );
  return Promise.all(commits);
}

test('an owner commits on every chain of transactions', async () => {
  // Guards against a takeover after which the owner cannot store anything.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  await first.election.check();
  const outcomes = await commitOnEachChain(store, first.terms[0]!);
  await first.election.stop();
  assert.deepEqual(new Set(outcomes), new Set(['committed']));
});

test('a takeover fences every chain of transactions of the last owner', async () => {
  // Guards against an owner that is replaced and still assigns tasks through a
  // chain which its successor has not taken over.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  const second = createCandidate(store, 'second');
  await first.election.check();
  const term = first.terms[0]!;
  await second.election.replaceOwner(term.token);
  const outcomes = await commitOnEachChain(store, term);
  term.end('test');
  await second.election.stop();
  for (const outcome of outcomes) assert.match(outcome, /another node owns/);
});

test('a takeover by a build with one chain fences every chain', async () => {
  // Guards against two owners during an upgrade: earlier builds rewrite the
  // owner key and the first head alone.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  await first.election.check();
  const term = first.terms[0]!;
  store.put(keys.owner, Buffer.from('earlier build'));
  store.put(keys.head, encodeHead({token: 0, sequence: 0}));
  const outcomes = await commitOnEachChain(store, term);
  term.end('test');
  for (const outcome of outcomes) assert.match(outcome, /another node owns/);
});

test('an owner that requests replacement is replaced at once, and no other', async () => {
  // Guards against a delayed request that replaces the next owner.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  const second = createCandidate(store, 'second');
  const third = createCandidate(store, 'third');
  await first.election.check();
  const {token} = first.terms[0]!;
  await second.election.replaceOwner(token);
  assert.equal(await ownerOf(store), 'second');
  await third.election.replaceOwner(token);
  assert.equal(await ownerOf(store), 'second');
  first.terms[0]!.end('test');
  await second.election.stop();
});

test('a node owns the partition if the response to its takeover was lost', async () => {
  // Guards against a partition that waits for the lease of a node that is the
  // owner but has not recorded it.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first');
  store.commitFaults.push('answer-lost');
  await first.election.check();
  assert.equal(await ownerOf(store), 'first');
  assert.equal(first.terms.length, 1);
  await first.election.stop();
});

test('an owner reports failing renewals without ending its term', async () => {
  // Guards against an owner that cannot renew and requests replacement only
  // when its lease ends.
  const store = new MemoryStore();
  const first = createCandidate(store, 'first', {termLeaseMs: 400});
  await first.election.check();
  const term = first.terms[0]!;
  const stalled = new Promise<void>((resolve) =>
    term.onRenewalStalled(resolve),
  );
  store.isDown = true;
  await stalled;
  assert.equal(term.isOver, false);
  store.isDown = false;
  await first.election.stop();
});

test('a node with a candidacy delay takes over only if no other does', async () => {
  // Guards against an owner on a small VM, whose CPU cannot keep up with its
  // workers, while a larger node is available.
  const store = new MemoryStore();
  const candidacyDelayMs = 400;
  const small = createCandidate(store, 'small', {candidacyDelayMs});
  const large = createCandidate(store, 'large');
  await Promise.all([small.election.check(), large.election.check()]);
  assert.equal(await ownerOf(store), 'large');
  await large.election.stop();
  await small.election.check();
  assert.equal(await ownerOf(store), 'small');
  await small.election.stop();
});

test('a term ends once the owner key was overwritten or removed', async () => {
  // Guards against a former owner that polls and extends leases until a commit
  // or a worker refuses it: a node that is cut off from the store may have
  // workers which the new owner does not reach.
  for (const change of ['overwritten', 'removed']) {
    const store = new MemoryStore();
    const {election, terms} = createCandidate(store, 'first');
    await election.check();
    const [term] = terms;
    try {
      election.handleOwnerKeyChange(term!.token - 1);
      election.handleOwnerKeyChange(term!.token);
      assert.ok(!term!.isOver);
      if (change === 'removed') store.remove(keys.owner);
      else store.put(keys.owner, Buffer.from('another owner'));
      election.handleOwnerKeyChange(store.revision);
      assert.ok(term!.isOver, change);
    } finally {
      await election.stop();
    }
  }
});
