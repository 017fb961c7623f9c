import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {remainingCriticalPathMs, totalCriticalPathMs} from './critical_path.js';
import {JobState} from './job_state.js';

test('the critical path of a step with very many dependencies is found', () => {
  // Guards against a stored job that ends each scheduling pass with an error: a
  // list of 200,000 numbers is too long to be passed as arguments. Builds up to
  // b67ddf3 stored repeated dependencies.
  const after = new Array<number>(200_000).fill(0);
  const steps = [
    simpleStep({estimatedMs: 500}),
    simpleStep({estimatedMs: 700, after}),
  ];
  const job = new JobState(simpleJob('job', {steps}), 0);
  job.createDueOccurrences(0);
  assert.equal(totalCriticalPathMs(job), 1200);
  assert.equal(remainingCriticalPathMs(job), 1200);
});
