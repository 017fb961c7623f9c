import assert from 'node:assert/strict';
import {test} from 'node:test';

import {withBench} from '../../testing/entry_bench.js';
import {SeededRandom} from '../random/seeded_random.js';

test('P5: a queued request reported as "did not run" never reaches a target', () =>
  // Guards against sending a request whose deadline passed in the queue.
  withBench({target: {slots: 2}}, async (bench) => {
    const results = await Promise.all(
      Array.from({length: 30}, (_, index) =>
        bench.entry.caller.call({
          workMs: 60,
          timeoutMs: 200,
          nonIdempotentKey: `key-${index}`,
        }),
      ),
    );
    const refused = results.filter((r) => r.outcome === 'did-not-run').length;
    assert.ok(refused > 10, `${refused} were refused`);
    assert.equal(bench.ranKeys.size + refused, 30);
    assert.equal(bench.violations(), 0);
  }));

test('P5: a target that refuses connections has not run the request', () =>
  // Guards against reporting unsent requests as lost, or lost ones as unsent.
  withBench({}, async (bench) => {
    await bench.links[0]!.stop();
    const result = await bench.entry.caller.call({
      timeoutMs: 300,
      nonIdempotentKey: 'key',
    });
    assert.equal(result.outcome, 'did-not-run');
    assert.equal(bench.ranKeys.size, 0);
  }));

test('P5, P6: keyed requests run at most once while links and platform fail', () =>
  // Guards against a second run after a lost response, a lost claim or a retry
  // at another entry, and against reporting "did not run" for a request that
  // ran.
  withBench({targets: 3, entries: 2}, async (bench) => {
    const random = new SeededRandom(7);
    bench.platform.setFaults({loseAnswers: 0.3});
    const outcomes = new Map<string, string[]>();
    const callOnce = async (key: string): Promise<void> => {
      const entry = bench.entries[random.nextInteger(2)]!;
      const {outcome, code, isCorrect} = await entry.caller.call({
        nonIdempotentKey: key,
        timeoutMs: 600,
        workMs: random.nextInteger(40),
      });
      // A replayed response contains the echo of the first request.
      assert.ok(isCorrect || code === 1002);
      outcomes.set(key, [...(outcomes.get(key) ?? []), outcome]);
    };
    const faults = setInterval(() => {
      const link = bench.links[random.nextInteger(3)]!;
      link.setFaults(
        random.next() < 0.5
          ? {cut: true}
          : {backward: {loss: 0.2, stallMs: 300}},
      );
      setTimeout(() => link.setFaults({}), 60);
    }, 100).unref();
    for (let round = 0; round < 15; round++) {
      const keys = Array.from({length: 6}, (_, i) => `key-${round}-${i}`);
      // Each key is sent twice concurrently and once more afterwards.
      await Promise.all([...keys, ...keys].map(callOnce));
      await Promise.all(keys.map(callOnce));
    }
    clearInterval(faults);
    for (const [key, reported] of outcomes) {
      const runs = bench.ranKeys.get(key) ?? 0;
      assert.ok(runs <= 1, `${key} ran ${runs} times: ${reported.join()}`);
      const isDenied = reported.every((outcome) => outcome === 'did-not-run');
      assert.ok(!isDenied || runs === 0, `${key} ran: ${reported.join()}`);
    }
    const ran = [...outcomes.values()].flat().filter((o) => o === 'ran').length;
    assert.ok(ran > 50, `${ran} of 270 answers were "ran"`);
  }));

test('P6: a retry at another entry gets the stored response', () =>
  // Guards against a retry that runs again, or gets no response although one
  // is stored.
  withBench({entries: 2}, async (bench) => {
    const [first, second] = bench.entries;
    const request = {nonIdempotentKey: 'once'};
    const original = await first!.caller.call(request);
    assert.equal(original.code, 1000);
    const repeat = await second!.caller.call(request);
    assert.equal(repeat.code, 1002);
    const other = await second!.caller.call({...request, body: 'changed'});
    assert.equal(other.code, 2000);
    assert.equal(bench.ranKeys.get('once'), 1);
  }));

test('P6: without the platform a keyed request is refused and can run later', () =>
  // Guards against running without a claim, and against a claim that is never
  // released.
  withBench({}, async (bench) => {
    const request = {nonIdempotentKey: 'later', timeoutMs: 500};
    bench.platform.setFaults({down: true});
    const refused = await bench.entry.caller.call(request);
    assert.equal(refused.outcome, 'did-not-run');
    assert.equal(bench.ranKeys.size, 0);
    bench.platform.setFaults({});
    const result = await bench.entry.caller.call(request);
    assert.equal(result.outcome, 'ran');
  }));

test('P5: a refused retry does not turn a lost attempt into "did not run"', () =>
  // Guards against reporting the result of only the last attempt.
  withBench({}, async (bench) => {
    await bench.warmUp();
    const [target] = bench.targets;
    const before = target!.requests;
    target!.setFaults({truncate: true});
    const call = bench.entry.caller.call({workMs: 100, timeoutMs: 800});
    await bench.waitUntil(() => target!.requests > before);
    target!.leave();
    assert.equal((await call).outcome, 'may-have-run');
  }));

test('P6: the claim of a request that did not run is released', () =>
  // Guards against a key that stays unusable after "did not run".
  withBench({target: {slots: 1}}, async (bench) => {
    const slow = bench.entry.caller.call({workMs: 400});
    await bench.waitUntil(() => bench.targets[0]!.requests === 1);
    const request = {nonIdempotentKey: 'again'};
    const early = await bench.entry.caller.call({...request, timeoutMs: 100});
    assert.equal(early.outcome, 'did-not-run');
    assert.equal((await bench.entry.caller.call(request)).outcome, 'ran');
    assert.equal((await slow).outcome, 'ran');
  }));

test('P6: a claim whose response was lost is recognised as its own', () =>
  // Guards against refusing or repeating a request because the response to its
  // claim was lost.
  withBench({}, async (bench) => {
    bench.platform.setFaults({loseAnswers: 1});
    const request = {nonIdempotentKey: 'lost'};
    assert.equal((await bench.entry.caller.call(request)).code, 1000);
    assert.equal((await bench.entry.caller.call(request)).code, 1002);
  }));
