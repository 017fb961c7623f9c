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
import {JobState} from '../jobs/job_state.js';

test('no member of a gang keeps its place when another cannot be sent', () => {
  // A worker begins to drain between the assignment of a gang and its commit.
  // Guards against members that occupy workers until the gang times out.
  const started: string[] = [];
  const stopped: string[] = [];
  const orchestrator = createOrchestrator({
    effects: idleEffects({
      start: ({name}) => started.push(name),
      stop: ({name}) => stopped.push(name),
    }),
  });
  for (const id of ['w0', 'w1', 'w2']) {
    orchestrator.upsertWorker(simpleWorker(id));
    const worker = orchestrator.workers.get(id)!;
    const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
    orchestrator.processReport(worker, report, 0);
  }
  const steps = [simpleStep({taskCount: 3, cpuMillicores: 8000, isGang: true})];
  const job = new JobState(simpleJob('gang', {steps}), 0);
  orchestrator.addJob(job);
  orchestrator.schedule();
  orchestrator.upsertWorker(simpleWorker('w1', {isDraining: true}));
  applyPending(orchestrator.takePending());
  assert.deepEqual(stopped, started);
  const states = [...job.tasks()].map(({state}) => state);
  assert.ok(!states.includes('assigned') && !states.includes('starting'));
});
