import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  randomColocatedSteps,
  simulateCalmPhases,
} from '../../../testing/simulate_calm_phases.js';

const SEEDS = Number(process.env['BANYANMUX_TEST_SEEDS'] ?? 40);
const FIRST_SEED = Number(process.env['BANYANMUX_TEST_FIRST_SEED'] ?? 1);

test('no task waits beside idle capacity once faults are over', () => {
  // Guards against tasks that are left out of each pass for a reason that does
  // not end: workers that shrank, also before a takeover, restarted or are few,
  // free capacity in small pieces, limits per worker, labels, racks, gangs,
  // best-effort tasks beside latency-critical ones.
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    assert.deepEqual(simulateCalmPhases(seed).violations, [], `seed ${seed}`);
  }
});

test('no best-effort task waits beside idle capacity for headroom', () => {
  // Guards against best-effort tasks that wait for latency-critical ones with
  // headroom, or for CPU left over, on workers that shrank.
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const options = {createSteps: randomColocatedSteps};
    const {violations} = simulateCalmPhases(seed, options);
    assert.deepEqual(violations, [], `seed ${seed}`);
  }
});

test('no task waits beside idle capacity for its advice', () => {
  // Guards against steps whose advice is not requested, or expires, while other
  // steps wait for workers that may run them.
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const isAllowed = (step: string, workerId: string): boolean =>
      (step.length + Number(workerId[1]) + Number(step.at(-1))) % 2 === 0;
    const {violations} = simulateCalmPhases(seed, {isAllowed});
    assert.deepEqual(violations, [], `seed ${seed}`);
  }
});

test('no task waits beside idle capacity because of crashing tasks', () => {
  // Guards against suspects that wait for a worker of their own, and against
  // tasks that wait beside them, on few workers.
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const crashingTasks = ['job00.0.0.0', 'job11.0.0.1', 'job20.0.0.0'];
    const {violations} = simulateCalmPhases(seed, {crashingTasks});
    assert.deepEqual(violations, [], `seed ${seed}`);
  }
});
