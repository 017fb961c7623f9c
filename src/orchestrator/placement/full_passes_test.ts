import assert from 'node:assert/strict';
import {test} from 'node:test';

import {FullPasses} from './full_passes.js';

test('while many jobs wait, few passes look at all of them', () => {
  // Guards against urgent starts that wait for passes over batch jobs without
  // room.
  const passes = new FullPasses(true);
  let full = 0;
  for (let nowMs = 0; nowMs < 1000; nowMs += 6) {
    if (!passes.isDue(nowMs)) continue;
    full += 1;
    passes.record(400, nowMs);
  }
  assert.ok(full >= 20 && full <= 25, `${full} full passes`);
});

test('each pass looks at all jobs while few wait, or without urgent ones', () => {
  // Guards against batch jobs that start later although the owner has time.
  const few = new FullPasses(true);
  few.record(10, 0);
  assert.ok(few.isDue(1));
  const unlimited = new FullPasses(false);
  unlimited.record(400, 0);
  assert.ok(unlimited.isDue(1));
});
