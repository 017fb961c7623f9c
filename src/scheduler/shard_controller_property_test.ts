import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {
  SimulatedShard,
  SimulatedShardOptions,
} from '../../testing/simulated_shard.js';

const RUNS = 10_000;

function findFirstBreach(
  changes: Partial<SimulatedShardOptions>,
  runs: number,
): string | undefined {
  for (let seed = 0; seed < runs; seed++) {
    const shard = new SimulatedShard({seed, faultyMs: 60_000, ...changes});
    shard.run(0);
    if (shard.breaches.length > 0) return shard.breaches[0];
  }
  return undefined;
}

test('no interleaving of faults breaks a promise about tasks', () => {
  // Guards against work that runs twice, over capacity, again after its end or
  // after "did not run", and against accepted jobs that disappear.
  let starts = 0;
  let evictions = 0;
  let takeovers = 0;
  fc.assert(
    fc.property(
      fc.noShrink(fc.integer()),
      fc.integer({min: 15_000, max: 45_000}),
      (seed, faultyMs) => {
        const shard = new SimulatedShard({seed, faultyMs});
        shard.run(0);
        starts += shard.starts;
        evictions += shard.evictions;
        takeovers += shard.takeovers;
        assert.deepEqual(shard.breaches, []);
      },
    ),
    {seed: 20261204, numRuns: RUNS},
  );
  // A simulation in which little happens would prove nothing.
  assert.ok(starts > 5 * RUNS, `${starts} starts`);
  assert.ok(evictions > RUNS / 2, `${evictions} evictions`);
  assert.ok(takeovers > 2 * RUNS, `${takeovers} takeovers`);
});

test('accepted jobs end once the faults are over', () => {
  // Guards against tasks that wait forever for a worker, a page or a report.
  fc.assert(
    fc.property(fc.noShrink(fc.integer()), (seed) => {
      const shard = new SimulatedShard({seed, faultyMs: 40_000});
      shard.run(240_000);
      assert.deepEqual(shard.breaches, []);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('the simulation notices workers that ignore the epoch', () => {
  // Guards against a simulation too mild to need the fencing of rule 1.
  assert.ok(findFirstBreach({checksEpoch: false}, 2000));
});

test('the simulation notices owners that do not wait for leases', () => {
  // Guards against a simulation too mild to need the lease wait of rule 6 (d).
  const timings = {clockRateMargin: 0, leaseSlackMs: 0};
  assert.ok(findFirstBreach({timings}, 2000));
});
