import assert from 'node:assert/strict';
import {test} from 'node:test';

import {EventLoopDelay} from './event_loop_delay.js';

test('the largest delay of the last half second counts', () => {
  // Guards against an owner that takes itself for idle between two late timers.
  const delay = new EventLoopDelay();
  delay.record(1000, 1400);
  delay.record(1500, 1505);
  assert.equal(delay.delayMs(1510), 400);
});

test('a delay is forgotten after a second', () => {
  // Guards against an owner that limits its work after the load has ended.
  const delay = new EventLoopDelay();
  delay.record(1000, 1400);
  delay.record(1990, 2000);
  assert.equal(delay.delayMs(2450), 400);
  assert.equal(delay.delayMs(2510), 10);
  assert.equal(delay.delayMs(4000), 0);
});
