import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleStep} from '../../testing/simple_definitions.js';
import {Misfits} from './misfits.js';

const OWNER = {service: 'service', jobId: 'job'};

test('a large task that does not fit does not hold back smaller ones', () => {
  // Load pattern: tasks of one image on leftover processors whose needs differ
  // by a factor of three. Guards against room that stays unused behind the
  // largest of them.
  const misfits = new Misfits();
  const fill = {usesLeftoverCpu: true, image: 'a'};
  misfits.add(simpleStep({...fill, cpuMillicores: 6000}), OWNER);
  const includes = (cpuMillicores: number): boolean =>
    misfits.includes(simpleStep({...fill, cpuMillicores}), OWNER);
  assert.ok(includes(6000));
  assert.ok(includes(7000));
  assert.ok(!includes(2000));
});

test('a misfit of one image says nothing of another', () => {
  // Guards against images that wait behind one that disturbs more.
  const misfits = new Misfits();
  misfits.add(simpleStep({usesLeftoverCpu: true, image: 'a'}), OWNER);
  const other = simpleStep({usesLeftoverCpu: true, image: 'b'});
  assert.ok(!misfits.includes(other, OWNER));
});

test('a step with a limit for each worker holds back only its own job', () => {
  // Guards against jobs that wait because another has used up its limit.
  const misfits = new Misfits();
  const step = simpleStep({mostPerWorker: 1});
  misfits.add(step, OWNER);
  assert.ok(misfits.includes(step, OWNER));
  assert.ok(!misfits.includes(step, {...OWNER, jobId: 'other'}));
});
