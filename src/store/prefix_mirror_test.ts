import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {PrefixMirror} from './prefix_mirror.js';

interface Bench<Store> {
  store: Store;
  mirror: PrefixMirror;
  values: Map<string, string>;
  until: (isMet: () => boolean) => Promise<void>;
}

/** Store whose responses to listings or watches can be delayed. */
class DelayedStore extends MemoryStore {
  /** Responses to these calls are delayed until the promise resolves. */
  hold: {call: 'list' | 'watch'; until: Promise<void>} | undefined;

  override async list(prefix: string): ReturnType<MemoryStore['list']> {
    const {hold} = this;
    const answer = await super.list(prefix);
    if (hold?.call === 'list') await hold.until;
    return answer;
  }

  override async watch(
    ...call: Parameters<MemoryStore['watch']>
  ): ReturnType<MemoryStore['watch']> {
    const answer = await super.watch(...call);
    const {hold} = this;
    if (hold?.call === 'watch') await hold.until;
    return answer;
  }
}

function createBench(): Bench<MemoryStore> {
  return createBenchOn(new MemoryStore());
}

function createBenchOn<Store extends MemoryStore>(
  store: Store,
  {waitMs = 20} = {},
): Bench<Store> {
  const values = new Map<string, string>();
  const mirror = new PrefixMirror({
    store,
    clock: new SystemClock(),
    log: silentLog(),
    prefix: 'a/',
    waitMs,
    onChange: ({key, value}) => {
      if (value) values.set(key, value.toString());
      else values.delete(key);
    },
  });
  const until = async (isMet: () => boolean): Promise<void> => {
    for (let round = 0; round < 400 && !isMet(); round++) await sleep(5);
    assert.ok(isMet());
  };
  return {store, mirror, values, until};
}

test('a mirror reports changes and deletions below its prefix', async () => {
  // Guards against reporting keys of other prefixes and missing deletions.
  const {store, mirror, values, until} = createBench();
  store.put('a/1', Buffer.from('x'));
  store.put('b/1', Buffer.from('y'));
  mirror.start();
  await until(() => values.get('a/1') === 'x');
  store.put('a/2', Buffer.from('z'));
  await until(() => values.get('a/2') === 'z');
  store.remove('a/1');
  await until(() => !values.has('a/1'));
  mirror.stop();
  assert.deepEqual([...values], [['a/2', 'z']]);
});

test('a mirror reports deletions whose history was compacted', async () => {
  // Guards against a removed worker or owner that stays in the mirror forever:
  // its deletion happens during an outage and is compacted before the next
  // watch.
  const {store, mirror, values, until} = createBench();
  store.put('a/1', Buffer.from('x'));
  mirror.start();
  await until(() => values.has('a/1'));
  store.isDown = true;
  store.remove('a/1');
  store.put('a/2', Buffer.from('y'));
  store.compact();
  store.isDown = false;
  await until(() => values.get('a/2') === 'y');
  mirror.stop();
  assert.ok(!values.has('a/1'));
});

function createGate(): {open: () => void; opened: Promise<void>} {
  let open = (): void => undefined;
  const opened = new Promise<void>((resolve) => (open = resolve));
  return {open, opened};
}

test('a listing does not restore a key deleted while it was in progress', async () => {
  // Guards against an owner key or a worker that stays in the mirror after a
  // takeover, because the listing read the key just before its removal.
  const {store, mirror, values, until} = createBenchOn(new DelayedStore());
  store.put('a/1', Buffer.from('x'));
  mirror.start();
  await until(() => values.has('a/1'));
  const gate = createGate();
  store.hold = {call: 'list', until: gate.opened};
  const reloaded = mirror.reload();
  await sleep(5);
  store.remove('a/1');
  await until(() => !values.has('a/1'));
  gate.open();
  await reloaded;
  mirror.stop();
  assert.deepEqual([...values], []);
});

test('a delayed watch response does not restore a key', async () => {
  // Guards against a watch response that arrives after a listing that already
  // covers its changes.
  const {store, mirror, values, until} = createBenchOn(new DelayedStore());
  store.put('a/1', Buffer.from('x'));
  mirror.start();
  await until(() => values.has('a/1'));
  const gate = createGate();
  store.hold = {call: 'watch', until: gate.opened};
  store.put('a/2', Buffer.from('y'));
  await sleep(30);
  store.remove('a/2');
  await mirror.reload();
  store.hold = undefined;
  gate.open();
  store.put('a/3', Buffer.from('z'));
  await until(() => values.has('a/3'));
  mirror.stop();
  assert.ok(!values.has('a/2'));
});

/** Store that answers each call 250 ms late. */
class SlowStore extends MemoryStore {
  override async list(prefix: string): ReturnType<MemoryStore['list']> {
    const answer = await super.list(prefix);
    await sleep(250);
    return answer;
  }

  override async watch(
    ...call: Parameters<MemoryStore['watch']>
  ): ReturnType<MemoryStore['watch']> {
    const answer = await super.watch(...call);
    await sleep(250);
    return answer;
  }
}

test('a slow store and a dropped history leave the mirror current', async () => {
  // Guards against an owner that starts nothing any more because it takes the
  // registrations for out of date.
  const {store, mirror} = createBenchOn(new SlowStore(), {waitMs: 1000});
  mirror.start();
  await sleep(600);
  assert.equal(mirror.isLoaded, true);
  let oldestMs = 0;
  const clock = new SystemClock();
  for (let sample = 0; sample < 100; sample++) {
    if (sample === 40) {
      store.put('outside', Buffer.from('1'));
      store.compact();
    }
    await sleep(40);
    oldestMs = Math.max(oldestMs, clock.nowMs() - mirror.lastResponseMs);
  }
  mirror.stop();
  assert.ok(oldestMs < 1700, `${oldestMs} ms without a response`);
});

test('a change that fails does not count as a failure of the store', async () => {
  // Guards against one odd value after which a new owner repeats its first
  // listing, and after which the node is not ready although the store answers.
  const store = new MemoryStore();
  const applied: string[] = [];
  const mirror = new PrefixMirror({
    store,
    clock: new SystemClock(),
    log: silentLog(),
    prefix: 'a/',
    waitMs: 20,
    onChange: ({key}) => {
      if (key === 'a/odd') throw new RangeError('Maximum call stack exceeded');
      applied.push(key);
    },
  });
  store.put('a/odd', Buffer.from('1'));
  store.put('a/sound', Buffer.from('1'));
  await mirror.reload();
  assert.deepEqual(applied, ['a/sound']);
  assert.ok(mirror.isResponding);
  mirror.start();
  store.put('a/odd', Buffer.from('2'));
  store.put('a/other', Buffer.from('1'));
  for (let round = 0; round < 20; round++) {
    await sleep(5);
    assert.ok(mirror.isResponding);
  }
  mirror.stop();
  assert.deepEqual(applied, ['a/sound', 'a/other']);
});
