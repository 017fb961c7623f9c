import assert from 'node:assert/strict';
import {test} from 'node:test';

import {SeededRandom} from '../random/seeded_random.js';
import {RandomRouting} from './random_routing.js';
import {PowerOfTwoChoicesRouting} from './power_of_two_choices_routing.js';

const POLICIES = [
  new RandomRouting(new SeededRandom(1)),
  new PowerOfTwoChoicesRouting(new SeededRandom(1)),
];

// Guards against routing requests to targets that are full, unavailable or
// already attempted.
test('baseline policies choose only usable targets', () => {
  const loads = [
    {target: 'full', slots: 8, inUse: 8, isAvailable: true},
    {target: 'leaving', slots: 8, inUse: 0, isAvailable: false},
    {target: 'tried', slots: 8, inUse: 0, isAvailable: true},
    {target: 'good', slots: 8, inUse: 7, isAvailable: true},
  ];
  const attempted = new Set(['tried']);
  for (const policy of POLICIES) {
    for (let i = 0; i < 50; i++) {
      const choice = policy.choose(loads, {urgency: 'urgent', attempted});
      assert.equal(choice?.target, 'good');
    }
    const none = policy.choose(loads.slice(0, 3), {
      urgency: 'urgent',
      attempted,
    });
    assert.equal(none, undefined);
  }
});
