import assert from 'node:assert/strict';
import {test} from 'node:test';

import {SeededRandom} from '../src/random/seeded_random.js';
import {generateSchedule, SoakFault} from './soak_faults.js';
import {runSoak} from './soak_run.js';

test('equal seeds give equal schedules', () => {
  // Guards against runs that cannot be repeated.
  const generate = (seed: number): unknown =>
    generateSchedule(new SeededRandom(seed), {
      untilMs: 20_000,
      kinds: Object.values(SoakFault),
    });
  assert.deepEqual(generate(3), generate(3));
  assert.notDeepEqual(generate(3), generate(4));
});

test('promises hold under random faults of nodes, store and workers', async () => {
  // Guards against lost, doubled or wrongly refused jobs; longer runs by hand.
  const {accepted, breaches} = await runSoak({seed: 1, seconds: 8});
  assert.ok(accepted > 10, `accepted ${accepted}`);
  assert.deepEqual(breaches, []);
});

test('seeds that once failed keep the promises', async () => {
  // 101: restarted workers; the stand-in acknowledged ends of the next life.
  const kinds = [SoakFault.RESTART_WORKER];
  const {breaches} = await runSoak({seed: 101, seconds: 5, kinds});
  assert.deepEqual(breaches, []);
});
