import assert from 'node:assert/strict';
import {test} from 'node:test';

import {SeededRandom} from '../src/random/seeded_random.js';
import {
  DEFAULT_SOAK_FAULTS,
  generateSchedule,
  SoakFault,
} from './soak_faults.js';
import {runSoak} from './soak_run.js';

test('equal seeds give equal schedules', () => {
  // Guards against soak failures that cannot be reproduced from their seed.
  const generate = (seed: number): unknown =>
    generateSchedule(new SeededRandom(seed), {
      untilMs: 20_000,
      kinds: DEFAULT_SOAK_FAULTS,
    });
  assert.deepEqual(generate(3), generate(3));
  assert.notDeepEqual(generate(3), generate(4));
});

test('guarantees hold under random faults of nodes, store and workers', async () => {
  // Guards against jobs that are lost, run twice or run after a rejection. For
  // longer runs, use `npm run soak`.
  const {accepted, breaches} = await runSoak({seed: 1, seconds: 8});
  assert.ok(accepted > 10, `accepted ${accepted}`);
  assert.deepEqual(breaches, []);
});

test('jobs that were given up do not start while nodes end', async () => {
  // Guards against starts of jobs that callers have cancelled because the store
  // did not answer their submission, beside nodes that end and pause.
  const kinds = [
    SoakFault.LATE_SUBMISSIONS,
    SoakFault.LATE_SUBMISSIONS,
    SoakFault.KILL_NODE,
    SoakFault.PAUSE_NODE,
  ];
  const {breaches} = await runSoak({seed: 3, seconds: 8, kinds});
  assert.deepEqual(breaches, []);
});

test('the guarantees hold for seeds that once failed', async () => {
  // 101: a poll that waited in the stand-in since before a worker's restart
  // acknowledged ends of the new incarnation.
  const kinds = [SoakFault.RESTART_WORKER];
  const {breaches} = await runSoak({seed: 101, seconds: 5, kinds});
  assert.deepEqual(breaches, []);
});
