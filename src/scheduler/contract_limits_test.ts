import assert from 'node:assert/strict';
import {test} from 'node:test';

import {contractSchema} from '../contracts/contract.js';
import {contractLimits} from './contract_limits.js';

const contract = contractSchema.parse({
  customer: 'acme',
  services: ['portal'],
  callers: [{name: 'counter', keyHash: '0'.repeat(64)}],
  vmShare: 0.5,
  quota: {runningTasks: 10, accelerators: 3},
});

test('the jobs of a deleted contract keep its limits', () => {
  // Guards against a customer whose accepted jobs take all workers once an
  // operator has deleted its contract.
  const deleted = {latestContract: () => contract};
  const limits = contractLimits(deleted, 'acme', 4);
  assert.equal(limits?.vmShare, 0.5);
  assert.equal(limits?.runningTasks, 3);
  assert.equal(limits?.accelerators, 1);
});
