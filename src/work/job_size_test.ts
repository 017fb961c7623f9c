import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../testing/simple_definitions.js';
import {definitionBytes} from './job_size.js';

test('all texts of a job count for its size', () => {
  // Guards against jobs with images or labels of 250 KB that stay below the
  // limit on the memory of all jobs while they fill it.
  const plain = definitionBytes(simpleJob('job'));
  const text = 'x'.repeat(250_000);
  for (const field of ['image', 'requiredLabel', 'affinityRack']) {
    const steps = [simpleStep({[field]: text})];
    const bytes = definitionBytes(simpleJob('job', {steps}));
    assert.ok(bytes >= plain + text.length, `${field}: ${bytes} bytes`);
  }
});
