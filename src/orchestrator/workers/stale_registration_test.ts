import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator, OrchestratorOptions} from '../orchestrator.js';

interface Fixture {
  orchestrator: Orchestrator;
  /** Names of the tasks of which the start was sent. */
  sent: string[];
  state: {registrationAgeMs: number};
}

/** Creates an owner with one worker and one job. */
function createFixture(
  options: Pick<OrchestratorOptions, 'drainNoticeMs'> = {},
): Fixture {
  const sent: string[] = [];
  const state = {registrationAgeMs: 0};
  const orchestrator = createOrchestrator({
    effects: idleEffects({start: ({name}) => sent.push(name)}),
    registrationAgeMs: () => state.registrationAgeMs,
    ...options,
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(orchestrator.workers.get('w')!, report, 0);
  orchestrator.addJob(new JobState(simpleJob('a'), 0));
  return {orchestrator, sent, state};
}

test('nothing is assigned while the registrations may be out of date', () => {
  // A watch whose response is lost tells nothing for over 2 s. Guards against
  // starts on workers that have said meanwhile that they leave.
  const {orchestrator, sent, state} = createFixture();
  state.registrationAgeMs = 1800;
  orchestrator.schedule();
  assert.equal(orchestrator.hasPending, false);
  state.registrationAgeMs = 1000;
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.deepEqual(sent, ['a.0.0.0']);
});

test('an assignment is withdrawn if the registrations grow old before its start', () => {
  // Guards against a start that waited for its commit longer than the owner may
  // rely on what it knows of the worker.
  const {orchestrator, sent, state} = createFixture();
  orchestrator.schedule();
  state.registrationAgeMs = 1800;
  applyPending(orchestrator.takePending());
  assert.deepEqual(sent, []);
  state.registrationAgeMs = 0;
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.deepEqual(sent, ['a.0.0.0']);
});

test('the limit follows the drain notice of the deployment', () => {
  // Guards against an owner that is behind and starts nothing, although workers
  // take starts for longer after they have said that they leave.
  const {orchestrator, sent, state} = createFixture({drainNoticeMs: 4000});
  state.registrationAgeMs = 3600;
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.deepEqual(sent, ['a.0.0.0']);
});
