import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleStep} from '../../testing/simple_definitions.js';
import {UnplaceableSteps} from './unplaceable_steps.js';

const ORIGIN = {service: 'service', jobId: 'job'};

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

test('an unplaceable step of one image does not block another image', () => {
  // Guards against images that wait behind one with more interference.
  const unplaceable = new UnplaceableSteps();
  unplaceable.add(simpleStep({usesLeftoverCpu: true, image: 'a'}), ORIGIN);
  const other = simpleStep({usesLeftoverCpu: true, image: 'b'});
  assert.ok(!unplaceable.includes(other, ORIGIN));
});

test('a step with a limit per worker blocks only its own job', () => {
  // Guards against jobs that wait because another job has reached its limit.
  const unplaceable = new UnplaceableSteps();
  const step = simpleStep({mostPerWorker: 1});
  unplaceable.add(step, ORIGIN);
  assert.ok(unplaceable.includes(step, ORIGIN));
  assert.ok(!unplaceable.includes(step, {...ORIGIN, jobId: 'other'}));
});
