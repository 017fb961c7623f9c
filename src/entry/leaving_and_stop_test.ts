import assert from 'node:assert/strict';
import {test} from 'node:test';

import {sleep} from '../clock/sleep.js';
import {EntryBench, withBench} from '../../testing/entry_bench.js';

/** Sends short requests until the returned function is called. */
function keepBusy(bench: EntryBench): () => Promise<string[]> {
  let isRunning = true;
  const outcomes: string[] = [];
  const work = async (): Promise<void> => {
    while (isRunning && !bench.isStopped) {
      outcomes.push((await bench.entry.caller.call({workMs: 2})).outcome);
    }
  };
  const done = Promise.all([work(), work(), work(), work()]);
  return async () => {
    isRunning = false;
    await done;
    return outcomes;
  };
}

for (const [name, indicate] of [
  ['its own responses', (bench) => bench.targets[0]!.leave()],
  [
    'the VM list',
    (bench) => {
      const [first, ...others] = bench.inventory.list();
      bench.inventory.set([{...first!, state: 'leaving'}, ...others]);
    },
  ],
  [
    'a planned stop',
    (bench) => {
      const name = 'target-1';
      const plan = {name, fromWallMs: Date.now(), windowMs: 0, reason: ''};
      bench.configuration.stops.set(name, plan);
    },
  ],
  ['refused connections', (bench) => void bench.links[0]!.stop()],
] as Array<[string, (bench: EntryBench) => void]>) {
  test(`P7: a leaving target, indicated by ${name}, gets no new requests`, () =>
    // Guards against sending new requests to a target later than 3 s after it
    // was indicated as leaving, and against interrupting requests in flight.
    withBench({targets: 2}, async (bench) => {
      const [leaving] = bench.targets;
      await bench.warmUp();
      const earlier = leaving!.requests;
      const slow = Array.from({length: 4}, () =>
        bench.entry.caller.call({workMs: 900}),
      );
      await bench.waitUntil(() => leaving!.requests > earlier);
      const stop = keepBusy(bench);
      indicate(bench);
      await sleep(1500);
      const before = leaving!.requests;
      await sleep(300);
      assert.equal(leaving!.requests, before);
      const outcomes = await stop();
      const isCut = name === 'refused connections';
      const results = (await Promise.all(slow)).map(({outcome}) => outcome);
      assert.ok(isCut || results.every((outcome) => outcome === 'ran'));
      assert.ok(outcomes.every((outcome) => outcome === 'ran'));
      assert.equal(bench.violations(), 0);
    }));
}

test('P8: a graceful stop interrupts no request in flight or in the queue', () =>
  // Guards against closing connections before their responses are complete.
  withBench({target: {slots: 4}}, async (bench) => {
    const {process, origin, caller, ownership} = bench.entry;
    const calls = Array.from({length: 12}, (_, index) =>
      caller.call({workMs: 200, responseBytes: index * 20_000}),
    );
    await bench.waitUntil(() => bench.targets[0]!.requests === 4);
    const stopped = process.stop();
    assert.equal((await fetch(`${origin}/readyz`)).status, 503);
    // Requests that arrive before the load balancer reacts are served too.
    const late = await caller.call();
    assert.equal(late.outcome, 'ran');
    const results = await Promise.all(calls);
    assert.ok(results.every((r) => r.outcome === 'ran' && r.isCorrect));
    await stopped;
    assert.equal(ownership.handOverCount, 1);
    await assert.rejects(fetch(`${origin}/healthz`));
  }));
