import assert from 'node:assert/strict';
import {test} from 'node:test';

import {WorkerClock} from './worker_clock.js';

/** Clock of the worker in ms and time in ms of its latest reading. */
const CLOCK_MS = 60_000;
const READ_MS = 1000;

function createClock(): WorkerClock {
  const clock = new WorkerClock();
  clock.record(CLOCK_MS, READ_MS);
  return clock;
}

test('a reading is compared with the time of its command', () => {
  // Guards against a restart that is seen in a response which waited, and
  // against one that is missed because the response came at once.
  const clock = createClock();
  const sentMs = READ_MS + 5000;
  assert.equal(clock.isReset(CLOCK_MS + 5000, sentMs), false);
  assert.equal(clock.isReset(CLOCK_MS + 3000, sentMs), true);
  assert.equal(clock.isReset(20, sentMs), true);
});

test('a worker whose clock is slow has not restarted', () => {
  // Guards against a worker that is taken for restarted after a long silence.
  const clock = createClock();
  const elapsedMs = 600_000;
  const clockMs = CLOCK_MS + elapsedMs * 0.98;
  assert.equal(clock.isReset(clockMs, READ_MS + elapsedMs), false);
});

test('the response to a command from before the latest reading is no restart', () => {
  // Guards against a restart that is seen where responses overtake each other.
  const clock = createClock();
  const delayMs = 3000;
  const clockMs = CLOCK_MS - delayMs;
  assert.equal(clock.isReset(clockMs, READ_MS - delayMs), false);
  assert.equal(clock.isReset(clockMs, READ_MS - 100), true);
});
