import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleStep} from '../../../testing/simple_definitions.js';
import {SeededRandom} from '../../random/seeded_random.js';
import {RunTimeEstimates} from './run_time_estimates.js';
import {StepRunTimes} from './step_run_times.js';

const QUEUE = 'queue';

function record(
  estimates: RunTimeEstimates,
  estimatedMs: number,
  tookMs: readonly number[],
): void {
  const step = new StepRunTimes();
  for (const took of tookMs) {
    estimates.record(QUEUE, {estimatedMs, tookMs: took, step});
  }
}

test('a step is expected to take as long as the longest of its tasks', () => {
  // Guards against jobs that count as late because the objective rests on one
  // task while the step waits for twenty.
  const estimates = new RunTimeEstimates();
  const one = estimates.stepMs(QUEUE, simpleStep({estimatedMs: 1000}));
  const many = estimates.stepMs(
    QUEUE,
    simpleStep({estimatedMs: 1000, taskCount: 20}),
  );
  assert.equal(Math.round(one), 1000);
  assert.ok(many > 1.8 * one && many < 3 * one, `${many} ms`);
});

test('declared times count only as far as they explain the actual ones', () => {
  // Guards against objectives that are many times too long, or too short,
  // because some jobs declare far less or more than they need.
  const estimates = new RunTimeEstimates();
  const random = new SeededRandom(1);
  for (let run = 0; run < 1000; run++) {
    record(estimates, 2000 * Math.exp(random.next() * 4 - 2), [2000, 2000]);
  }
  for (const estimatedMs of [300, 2000, 12_000]) {
    const expected = estimates.stepMs(QUEUE, simpleStep({estimatedMs}));
    assert.ok(expected > 1400 && expected < 3000, `${expected} ms`);
  }
});

test('declared times that are right are followed', () => {
  // Guards against long tasks that are expected to be as short as the others.
  const estimates = new RunTimeEstimates();
  const random = new SeededRandom(1);
  for (let run = 0; run < 1000; run++) {
    const estimatedMs = 200 * Math.exp(random.next() * 4);
    record(estimates, estimatedMs, [estimatedMs, estimatedMs]);
  }
  const expected = estimates.stepMs(QUEUE, simpleStep({estimatedMs: 8000}));
  assert.ok(Math.abs(expected - 8000) < 800, `${expected} ms`);
});

test('runs of a step that have ended tell its time', () => {
  // Guards against a job whose remaining time rests on a wrong declaration
  // although its own tasks show how long they take.
  const estimates = new RunTimeEstimates();
  const step = simpleStep({estimatedMs: 500, taskCount: 4});
  const known = new StepRunTimes();
  for (let run = 0; run < 3; run++) known.add(4000);
  assert.ok(estimates.stepMs(QUEUE, step, known) >= 4000);
  known.add(5000);
  assert.equal(estimates.stepMs(QUEUE, step, known), 5000);
});

test('a straggler does not change what is expected of all', () => {
  // Guards against estimates that follow the 3 in 100 tasks which take seven
  // times as long.
  const estimates = new RunTimeEstimates();
  for (let run = 0; run < 300; run++) {
    const took = run % 10 === 0 ? 7000 : 1000;
    record(estimates, 1000, [1000, 1000, took]);
  }
  const expected = estimates.stepMs(QUEUE, simpleStep({estimatedMs: 1000}));
  assert.ok(expected < 1200, `${expected} ms`);
});

test('values that tell nothing are left out', () => {
  // Guards against estimates that a clock which was set back, or a declaration
  // of 0, turns into something that is no number.
  const estimates = new RunTimeEstimates();
  record(estimates, 0, [1000]);
  record(estimates, 1000, [0, -5, Number.NaN]);
  const expected = estimates.stepMs(QUEUE, simpleStep({estimatedMs: 1000}));
  assert.equal(Math.round(expected), 1000);
  assert.equal(estimates.stepMs(QUEUE, simpleStep({estimatedMs: 0})), 0);
});
