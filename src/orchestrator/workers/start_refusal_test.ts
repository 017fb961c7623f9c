import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {RefusalReason} from './worker_port.js';

const STEP_MS = 10;
const WORKERS = 5;

/** Options of {@link runStarts}. */
interface StartOptions {
  durationMs: number;
  reason: RefusalReason;
  /** @default 5 */
  workers?: number;
  /** Id of a worker that accepts a start. @default none */
  acceptingWorker?: string;
}

/** Returns how many starts of one task are sent while workers refuse them. */
function countStarts(durationMs: number, reason: RefusalReason): number {
  return runStarts({durationMs, reason}).length;
}

/** Returns the workers to which starts of one task are sent, in order. */
function runStarts(options: StartOptions): string[] {
  const {durationMs, reason, workers = WORKERS, acceptingWorker} = options;
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const sent: TaskState[] = [];
  const orchestrator = createOrchestrator({
    clock,
    effects: idleEffects({start: (task) => sent.push(task)}),
  });
  for (let number = 0; number < workers; number++) {
    orchestrator.upsertWorker(simpleWorker(`w${number}`));
  }
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  const starts: string[] = [];
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
      const id = task.assignment!.workerId;
      starts.push(id);
      if (id === acceptingWorker) return starts;
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

test('a start that many workers refuse reaches the one that accepts it', () => {
  // Guards against a task that goes to the same few workers again and again,
  // because they suit it best and their blocks end before the next start.
  const common = {durationMs: 10_000, workers: 9, acceptingWorker: 'w8'};
  for (const reason of [RefusalReason.NO_ROOM, RefusalReason.INVALID]) {
    const starts = runStarts({...common, reason});
    assert.deepEqual(starts.length, 9, starts.join());
  }
});
