import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';

import {RetryBudget} from './retry_budget.js';

// Guards against retry storms, that is, more retries than 10% of the requests
// so far.
test('retries never exceed a tenth of the requests', () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), {maxLength: 500}), (events) => {
      const budget = new RetryBudget();
      let requests = 0;
      let retries = 0;
      for (const isRequest of events) {
        if (isRequest) {
          requests += 1;
          budget.recordRequest();
        } else if (budget.tryAcquire()) retries += 1;
        assert.ok(retries <= requests / 10 + 1e-6);
      }
    }),
    {seed: 1},
  );
});

// Guards against a budget that never permits a retry.
test('ten requests permit exactly one retry', () => {
  const budget = new RetryBudget();
  for (let i = 0; i < 10; i++) budget.recordRequest();
  assert.equal(budget.tryAcquire(), true);
  assert.equal(budget.tryAcquire(), false);
});
