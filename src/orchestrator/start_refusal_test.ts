import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../testing/apply_pending.js';
import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {idleEffects} from '../../testing/idle_effects.js';
import {simpleJob, simpleWorker} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {JobState} from './job_state.js';
import {TaskState} from './task_state.js';
import {RefusalReason} from './worker_port.js';

const STEP_MS = 10;
const WORKERS = 5;

/** Returns how many starts of one task are sent while workers refuse them. */
function countStarts(durationMs: number, reason: RefusalReason): number {
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const sent: TaskState[] = [];
  const orchestrator = createOrchestrator({
    clock,
    effects: idleEffects({start: (task) => sent.push(task)}),
  });
  for (let number = 0; number < WORKERS; number++) {
    orchestrator.upsertWorker(simpleWorker(`w${number}`));
  }
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  let starts = 0;
  for (let passed = 0; passed < durationMs; passed += STEP_MS) {
    clock.advance(STEP_MS);
    for (const worker of orchestrator.workers.values()) {
      const nowMs = clock.nowMs();
      const report = {clockMs: nowMs, bornMs: 1, running: [], ended: []};
      orchestrator.processReport(worker, report, -Infinity);
    }
    orchestrator.tick();
    orchestrator.schedule();
    applyPending(orchestrator.takePending());
    for (const task of sent.splice(0)) {
      starts += 1;
      const outcome = {kind: 'refused', reason} as const;
      orchestrator.handleStartOutcome(task, task.run, outcome);
    }
  }
  return starts;
}

test('a start that every worker refuses is repeated at most once a second', () => {
  // Guards against a task that floods workers and store, because workers find
  // it invalid, or the owner cannot renew its lease but still commits.
  const reasons = [RefusalReason.INVALID, RefusalReason.TERM_UNCERTAIN];
  for (const reason of reasons) {
    const first = countStarts(10_000, reason);
    const further = countStarts(20_000, reason) - first;
    assert.ok(further <= 10, `${reason}: ${further} starts in 10 s`);
  }
});

test('a start that one worker refuses is sent to another at once', () => {
  // Guards against urgent work that waits because a single worker was full.
  assert.ok(countStarts(60, RefusalReason.NO_ROOM) >= 3);
});
