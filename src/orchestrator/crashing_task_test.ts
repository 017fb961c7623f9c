import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../testing/simple_definitions.js';
import {
  SimulatedPartition,
  SimulatedPartitionOptions,
} from '../../testing/simulated_partition.js';
import {JobPhase} from '../work/job_definition.js';

const SEEDS = 20;
const CRASHING_TASK = 'bad.0.0.1';

/** Submits one job whose task 1 crashes its workers, and nine other jobs. */
function createPartition(
  options: Partial<SimulatedPartitionOptions> = {},
): SimulatedPartition {
  const partition = new SimulatedPartition({
    seed: 1,
    workers: 8,
    maxAttempts: 50,
    crashingTasks: [CRASHING_TASK],
    ...options,
  });
  const steps = [simpleStep({taskCount: 3})];
  partition.submit(simpleJob('bad', {steps}));
  for (let number = 0; number < 9; number++) {
    partition.submit(simpleJob(`good${number}`, {steps}));
  }
  return partition;
}

function phaseOf(partition: SimulatedPartition, job: string): JobPhase {
  return partition.owner.jobs.get(job)!.phase;
}

test('a task that crashes each worker that starts it is given up', () => {
  // Guards against one task that takes down worker after worker, because runs
  // that are lost with their worker are repeated without a limit.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const partition = createPartition({seed});
    partition.runWithoutFaults(90_000);
    assert.deepEqual(partition.violations, [], `seed ${seed}`);
    assert.equal(phaseOf(partition, 'bad'), JobPhase.FAILED, `seed ${seed}`);
  }
});
