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
    const shard = new SimulatedShard({seed, faultPeriodMs: 60_000, ...changes});
    shard.run(0);
    if (shard.violations.length > 0) return shard.violations[0];
  }
  return undefined;
}

test('keeps all guarantees about tasks under any interleaving of faults', () => {
  // Guards against tasks that run twice at once, beyond the capacity, after
  // their end is stored or after "did not run" was reported, and against
  // accepted jobs that are lost.
  let starts = 0;
  let evictions = 0;
  let takeovers = 0;
  fc.assert(
    fc.property(
      fc.noShrink(fc.integer()),
      fc.integer({min: 15_000, max: 45_000}),
      (seed, faultyMs) => {
        const shard = new SimulatedShard({seed, faultPeriodMs: faultyMs});
        shard.run(0);
        starts += shard.starts;
        evictions += shard.evictions;
        takeovers += shard.takeovers;
        assert.deepEqual(shard.violations, []);
      },
    ),
    {seed: 20261204, numRuns: RUNS},
  );
  // A simulation with few starts, evictions or takeovers would prove nothing.
  assert.ok(starts > 5 * RUNS, `${starts} starts`);
  assert.ok(evictions > RUNS / 2, `${evictions} evictions`);
  assert.ok(takeovers > 2 * RUNS, `${takeovers} takeovers`);
});

test('accepted jobs end once the faults have ended', () => {
  // Guards against tasks that wait forever for a worker, a page write or a
  // report.
  fc.assert(
    fc.property(fc.noShrink(fc.integer()), (seed) => {
      const shard = new SimulatedShard({seed, faultPeriodMs: 40_000});
      shard.run(240_000);
      assert.deepEqual(shard.violations, []);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('the simulation detects workers that ignore the epoch', () => {
  // Guards against a simulation whose faults are too weak to fail without
  // fencing by epochs (rule 1).
  assert.ok(findFirstBreach({checksEpoch: false}, 2000));
});

test('the simulation detects owners that do not wait for lease expiry', () => {
  // Guards against a simulation whose faults are too weak to fail without the
  // wait for lease expiry (rule 6 d).
  const timings = {clockRateMargin: 0, leaseSlackMs: 0};
  assert.ok(findFirstBreach({timings}, 2000));
});
