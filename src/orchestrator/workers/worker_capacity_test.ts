import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {SimulatedPartition} from '../../../testing/simulated_partition.js';
import {JobState} from '../jobs/job_state.js';

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

test('a start is not sent if the capacity has shrunk since its assignment', () => {
  // Guards against a start that waited for a slow commit and exceeds the
  // capacity of a worker that does not guard it.
  const started: string[] = [];
  const orchestrator = createOrchestrator({
    effects: idleEffects({start: ({name}) => started.push(name)}),
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(worker, report, 0);
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  orchestrator.schedule();
  const capacity = {cpuMillicores: 500, memoryMb: 16_000, acceleratorCount: 0};
  orchestrator.upsertWorker(simpleWorker('w', {capacity}));
  applyPending(orchestrator.takePending());
  assert.deepEqual(started, []);
  orchestrator.upsertWorker(simpleWorker('w'));
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.deepEqual(started, ['job.0.0.0']);
});
