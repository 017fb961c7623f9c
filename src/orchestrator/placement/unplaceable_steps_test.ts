import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleStep} from '../../../testing/simple_definitions.js';
import {StepDefinition} from '../../work/job_definition.js';
import {UnplaceableSteps} from './unplaceable_steps.js';

const ORIGIN = {service: 'service', stepName: 'job.0.0'};

test('a large task that does not fit does not block smaller ones', () => {
  // Best-effort tasks of one image request CPU that differs by a factor of
  // three. Guards against capacity that stays unused because the largest of
  // them does not fit.
  const unplaceable = new UnplaceableSteps();
  const bestEffort = {usesLeftoverCpu: true, image: 'a'};
  unplaceable.add(simpleStep({...bestEffort, cpuMillicores: 6000}), ORIGIN);
  const includes = (cpuMillicores: number): boolean =>
    unplaceable.includes(simpleStep({...bestEffort, cpuMillicores}), ORIGIN);
  assert.ok(includes(6000));
  assert.ok(includes(7000));
  assert.ok(!includes(2000));
});

test('a best-effort task that lacks memory does not block those that need less', () => {
  // Guards against tasks that wait for as long as one with more memory and as
  // little CPU does not fit, in the same pass and in later ones.
  const unplaceable = new UnplaceableSteps();
  const fill = (cpuMillicores: number, memoryMb: number): StepDefinition =>
    simpleStep({usesLeftoverCpu: true, cpuMillicores, memoryMb});
  unplaceable.beginPass({pass: 1, nowMs: 0});
  unplaceable.add(fill(2000, 8000), ORIGIN);
  unplaceable.add(fill(4000, 1000), ORIGIN);
  assert.ok(!unplaceable.includes(fill(3000, 1000), ORIGIN));
  assert.ok(unplaceable.includes(fill(4000, 1000), ORIGIN));
  assert.ok(unplaceable.includes(fill(3000, 9000), ORIGIN));
  unplaceable.beginPass({pass: 2, nowMs: 10});
  assert.equal(unplaceable.failedPassOf(fill(3000, 1000), ORIGIN), undefined);
  assert.equal(unplaceable.failedPassOf(fill(2000, 8000), ORIGIN), 1);
  unplaceable.add(fill(1000, 500), ORIGIN);
  unplaceable.beginPass({pass: 3, nowMs: 20});
  assert.equal(unplaceable.failedPassOf(fill(2000, 8000), ORIGIN), 2);
});

test('an unplaceable step of one image does not block another image', () => {
  // Guards against images that wait behind one with more interference.
  const unplaceable = new UnplaceableSteps();
  unplaceable.add(simpleStep({usesLeftoverCpu: true, image: 'a'}), ORIGIN);
  const other = simpleStep({usesLeftoverCpu: true, image: 'b'});
  assert.ok(!unplaceable.includes(other, ORIGIN));
});

test('a step with a limit per worker blocks no other step', () => {
  // Guards against jobs, or steps of a job, that wait because another one has
  // reached its limit.
  const unplaceable = new UnplaceableSteps();
  const step = simpleStep({mostPerWorker: 1});
  unplaceable.add(step, ORIGIN);
  assert.ok(unplaceable.includes(step, ORIGIN));
  for (const stepName of ['other.0.0', 'job.0.1', 'job.1.0']) {
    assert.ok(!unplaceable.includes(step, {...ORIGIN, stepName}));
  }
});

test('a step that did not fit is searched among changed workers only', () => {
  // Guards against repeated searches of all workers while a burst waits.
  const unplaceable = new UnplaceableSteps();
  const step = simpleStep({cpuMillicores: 2000});
  unplaceable.beginPass({pass: 1, nowMs: 0});
  unplaceable.add(step, ORIGIN);
  unplaceable.beginPass({pass: 2, nowMs: 10});
  assert.ok(!unplaceable.includes(step, ORIGIN));
  assert.equal(unplaceable.failedPassOf(step, ORIGIN), 1);
  const larger = simpleStep({cpuMillicores: 3000});
  assert.equal(unplaceable.failedPassOf(larger, ORIGIN), 1);
  const smaller = simpleStep({cpuMillicores: 1000});
  assert.equal(unplaceable.failedPassOf(smaller, ORIGIN), undefined);
});

test('a failed search of changed workers does not delay the next full one', () => {
  // Guards against a worker that is not evaluated for as long as jobs wait,
  // although its block has ended meanwhile.
  const unplaceable = new UnplaceableSteps();
  const step = simpleStep({cpuMillicores: 2000});
  for (let pass = 1; pass <= 30; pass++) {
    unplaceable.beginPass({pass, nowMs: pass * 10});
    unplaceable.add(step, ORIGIN);
  }
  unplaceable.beginPass({pass: 31, nowMs: 310});
  assert.equal(unplaceable.failedPassOf(step, ORIGIN), undefined);
});

test('a smaller step that fits does not change what larger ones need', () => {
  // A larger step that is searched among few workers says nothing about the
  // others for a smaller one.
  const unplaceable = new UnplaceableSteps();
  const small = simpleStep({cpuMillicores: 2000});
  const large = simpleStep({cpuMillicores: 3000});
  unplaceable.beginPass({pass: 1, nowMs: 0});
  unplaceable.add(small, ORIGIN);
  unplaceable.beginPass({pass: 2, nowMs: 10});
  unplaceable.add(large, ORIGIN);
  unplaceable.beginPass({pass: 3, nowMs: 20});
  assert.equal(unplaceable.failedPassOf(small, ORIGIN), 1);
});
