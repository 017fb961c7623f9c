import assert from 'node:assert/strict';
import {test} from 'node:test';

import {CustomerLimits, CustomerUsage} from './customer_limits.js';

const CAPACITY = {processors: 10, memoryMegabytes: 1000, accelerators: 2};
const TASK = {processors: 2, memoryMegabytes: 10, accelerators: 1};

function limits(changes: Partial<CustomerLimits>): CustomerLimits {
  return {
    vmShare: 1,
    runningTasks: 100,
    accelerators: 100,
    maxWaiting: {urgent: 1, standard: 1, batch: 1},
    ...changes,
  };
}

test('enforces each limit and frees it when a task ends', () => {
  // Guards against customers that exceed their contract, and against ended
  // tasks that still count towards a limit.
  const cases = [{vmShare: 0.3}, {runningTasks: 1}, {accelerators: 1}];
  for (const changes of cases) {
    const usage = new CustomerUsage();
    const constraints = {limits: limits(changes), capacity: CAPACITY};
    assert.ok(usage.allows('a', TASK, constraints));
    usage.adjust('a', TASK, 1);
    assert.ok(!usage.allows('a', TASK, constraints), JSON.stringify(changes));
    assert.ok(usage.allows('b', TASK, constraints));
    usage.adjust('a', TASK, -1);
    assert.ok(usage.allows('a', TASK, constraints));
  }
});
