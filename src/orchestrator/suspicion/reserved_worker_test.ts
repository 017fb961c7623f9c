import assert from 'node:assert/strict';
import {test} from 'node:test';

import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {CrashRole} from '../../work/crash_role.js';
import {JobState} from '../jobs/job_state.js';

test('a suspect starts on the worker that is reserved for it', () => {
  // Guards against a suspect that waits although a worker is kept free for it,
  // because an earlier suspect of its step may not use that worker.
  const clock = new ManualClock({startMs: 1000, wallStartMs: 0});
  const orchestrator = createOrchestrator({clock});
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(worker, report, clock.nowMs());
  const steps = [simpleStep({taskCount: 2})];
  const job = new JobState(simpleJob('a', {steps}), 0);
  const [first, second] = job.occurrence(0).steps[0]!.tasks;
  for (const task of [first!, second!]) {
    task.crashes.add({
      role: CrashRole.SUSPECT,
      isImmediate: true,
      hasBegun: true,
    });
  }
  orchestrator.addJob(job);
  worker.reserveFor(second!, clock.nowMs() + 1000);
  orchestrator.schedule();
  assert.equal(second!.assignment?.workerId, 'w');
});
