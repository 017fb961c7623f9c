import assert from 'node:assert/strict';
import {test} from 'node:test';

import {formatTaskName, parseTaskName} from './task_name.js';

test('a formatted task name is parsed into the same parts', () => {
  // Guards against runs whose job cannot be found by their name.
  const name = {jobId: '5c0e7a21d94b36f8', occurrence: 2, step: 1, index: 17};
  assert.deepEqual(parseTaskName(formatTaskName(name)), name);
});

test('a name of another format is not parsed', () => {
  // Guards against a malformed report that is taken for a run of a job.
  for (const text of ['', 'a.b.c.d', '5c0e.0.1', '5c0e.0.1.2.3']) {
    assert.equal(parseTaskName(text), undefined, text);
  }
});
