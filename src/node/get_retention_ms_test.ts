import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MAX_SUBMISSION_MS} from '../work/submission_lifetime.js';
import {getRetentionMs} from './get_retention_ms.js';

test('a finished job is kept while a submission of it may be under way', () => {
  // Guards against a job that runs a second time, since a repeated submission
  // finds no record of the first.
  assert.ok(getRetentionMs(1) > MAX_SUBMISSION_MS);
  assert.equal(getRetentionMs(3600), 3_600_000);
});
