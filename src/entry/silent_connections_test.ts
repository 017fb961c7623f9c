import assert from 'node:assert/strict';
import {test} from 'node:test';

import {sleep} from '../clock/sleep.js';
import {withBench} from '../../testing/entry_bench.js';

test('idle connections that were dropped without notice are not reused', () =>
  // Guards against reusing an idle connection that no longer transfers data.
  withBench({}, async (bench) => {
    const warm = Array.from({length: 8}, () =>
      bench.entry.caller.call({workMs: 20}),
    );
    await Promise.all(warm);
    bench.links[0]!.setFaults({forgetOpen: true});
    bench.links[0]!.setFaults({});
    // Longer than maxIdleMs of the connection pool.
    await sleep(1050);
    const results = await Promise.all(
      Array.from({length: 8}, () =>
        bench.entry.caller.call({
          timeoutMs: 500,
          nonIdempotentKey: `key-${Math.random()}`,
        }),
      ),
    );
    assert.ok(results.every(({outcome}) => outcome === 'ran'));
  }));

test('a connection dropped without notice loses only its own request', () =>
  // Guards against sending another request over a connection that no longer
  // transfers data.
  withBench({}, async (bench) => {
    const call = (key: string, timeoutMs: number): Promise<string> =>
      bench.entry.caller
        .call({workMs: 10, timeoutMs, nonIdempotentKey: key})
        .then(({outcome}) => outcome);
    assert.equal(await call('warm', 1000), 'ran');
    bench.links[0]!.setFaults({forgetOpen: true});
    bench.links[0]!.setFaults({});
    assert.equal(await call('lost', 300), 'may-have-run');
    for (let index = 0; index < 5; index++) {
      assert.equal(await call(`next-${index}`, 1000), 'ran');
    }
    assert.equal(bench.violations(), 0);
  }));

test('a target stays available if only its probe connection is dropped', () =>
  // Guards against treating a lost connection as an unreachable target.
  withBench({}, async (bench) => {
    const [state] = bench.entry.process.fleet.states();
    assert.equal(state!.state, 'available');
    bench.links[0]!.setFaults({forgetOpen: true});
    bench.links[0]!.setFaults({});
    const endMs = performance.now() + 2500;
    while (performance.now() < endMs) {
      assert.equal(bench.entry.process.fleet.states()[0]!.state, 'available');
      await sleep(20);
    }
  }));

test('an unresponsive target gets no requests until it responds again', () =>
  // Guards against requests that accumulate at a target that does not respond.
  withBench({targets: 2}, async (bench) => {
    bench.links[0]!.setFaults({backward: {silent: true}});
    const stateOf = (): string | undefined =>
      bench.entry.process.fleet.states()[0]!.state;
    await bench.waitUntil(() => stateOf() === 'unreachable');
    const before = bench.targets[0]!.requests;
    const results = await Promise.all(
      Array.from({length: 10}, () => bench.entry.caller.call()),
    );
    assert.ok(results.every(({outcome}) => outcome === 'ran'));
    assert.equal(bench.targets[0]!.requests, before);
    bench.links[0]!.setFaults({});
    await bench.waitUntil(() => stateOf() === 'available');
  }));
