import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleStep} from '../../testing/simple_definitions.js';
import {UnplaceableSteps} from './unplaceable_steps.js';

const ORIGIN = {service: 'service', jobId: 'job'};

test('a large task that does not fit does not hold back smaller ones', () => {
  // Load pattern: tasks of one image on leftover processors whose needs differ
  // by a factor of three. Guards against room that stays unused behind the
  // largest of them.
  const unplaceable = new UnplaceableSteps();
  const bestEffort = {usesLeftoverCpu: true, image: 'a'};
  unplaceable.add(simpleStep({...bestEffort, cpuMillicores: 6000}), ORIGIN);
  const includes = (cpuMillicores: number): boolean =>
    unplaceable.includes(simpleStep({...bestEffort, cpuMillicores}), ORIGIN);
  assert.ok(includes(6000));
  assert.ok(includes(7000));
  assert.ok(!includes(2000));
});

test('a misfit of one image says nothing of another', () => {
  // Guards against images that wait behind one that disturbs more.
  const unplaceable = new UnplaceableSteps();
  unplaceable.add(simpleStep({usesLeftoverCpu: true, image: 'a'}), ORIGIN);
  const other = simpleStep({usesLeftoverCpu: true, image: 'b'});
  assert.ok(!unplaceable.includes(other, ORIGIN));
});

test('a step with a limit for each worker holds back only its own job', () => {
  // Guards against jobs that wait because another has used up its limit.
  const unplaceable = new UnplaceableSteps();
  const step = simpleStep({mostPerWorker: 1});
  unplaceable.add(step, ORIGIN);
  assert.ok(unplaceable.includes(step, ORIGIN));
  assert.ok(!unplaceable.includes(step, {...ORIGIN, jobId: 'other'}));
});
