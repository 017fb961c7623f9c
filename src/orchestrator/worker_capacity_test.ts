import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../testing/simple_definitions.js';
import {SimulatedPartition} from '../../testing/simulated_partition.js';

const SEEDS = Number(process.env['BANYANMUX_TEST_SEEDS'] ?? 200);

/** Runs jobs on workers that do not guard their capacity, which changes. */
function simulateSeed(seed: number, jobs = 12): SimulatedPartition {
  const partition = new SimulatedPartition({
    seed,
    maxAttempts: 50,
    capacityChangeRate: 0.04,
  });
  for (let number = 0; number < jobs; number++) {
    const steps = [simpleStep({taskCount: 4, cpuMillicores: 1500})];
    partition.submit(simpleJob(`job${number}`, {steps}));
  }
  partition.runWithFaults(25_000);
  return partition;
}

test('no start exceeds the capacity of a worker that does not guard it', () => {
  // Guards against starts beside runs that are still being stopped, or whose
  // owner was replaced, and starts that were assigned before the capacity shrank.
  for (let seed = 1; seed <= SEEDS; seed++) {
    assert.deepEqual(simulateSeed(seed).violations, [], `seed ${seed}`);
  }
});
