import assert from 'node:assert/strict';
import {test} from 'node:test';

import {AdaptiveStartLimit} from './adaptive_start_limit.js';

/**
 * Plays an owner that answers a number of starts a second, with as many open as
 * the limit allows.
 *
 * @returns The limit, and how long a start took at last.
 */
function play(
  startsPerSecond: number,
  slowShare = 0,
): {limit: number; tookMs: number} {
  const limit = new AdaptiveStartLimit({least: 60, greatest: 300});
  let tookMs = 0;
  let number = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1000 / startsPerSecond) {
    tookMs = (limit.limit / startsPerSecond) * 1000;
    const isSlow = number++ % 100 < slowShare * 100;
    limit.recordAnswer(isSlow ? 1200 : tookMs, nowMs);
  }
  return {limit: limit.limit, tookMs};
}

test('an owner that is full sends no more than it can serve promptly', () => {
  // Guards against urgent starts that wait behind hundreds of batch starts in
  // the owner's own queues, while these get no faster.
  const {limit, tookMs} = play(600);
  assert.ok(tookMs < 250, `${tookMs} ms`);
  assert.ok(limit >= 60, `${limit}`);
});

test('an owner that keeps up is not limited', () => {
  // Guards against a fleet that is filled too slowly after a takeover.
  assert.equal(play(3000).limit, 300);
});

test('a few workers that do not answer do not lower the limit', () => {
  // Guards against work that is held back for all because some workers are cut
  // off.
  assert.equal(play(3000, 0.15).limit, 300);
});
