import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryPlatform} from '../../testing/memory_platform.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {ClaimRequest, ClaimStore} from './claim_store.js';

const clock = new SystemClock();

/** Time in ms in which a claim that has reappeared is taken back. */
const TAKE_BACK_MS = 300;

function createRequest(): ClaimRequest {
  return {
    customer: 'association',
    caller: 'alice',
    key: 'order-1',
    fingerprint: 'a',
    deadlineMs: clock.nowMs() + 1000,
  };
}

test('a released claim does not come back by a late write', async (context) => {
  // Guards against a key that stays claimed for a day although the caller was
  // told that the work did not run: an unanswered write of the claim is carried
  // out after the claim was released.
  const platform = new MemoryPlatform();
  const claims = new ClaimStore({
    platform,
    clock,
    member: 'a',
    incarnation: '1',
    retryMs: 5,
  });
  context.after(() => claims.stop());
  platform.lateWrites = 1;
  const first = await claims.claim(createRequest());
  assert.ok(first.kind === 'granted');
  await claims.release(first.claim, 100);
  const [late] = platform.applyLateWrites();
  assert.equal(late?.written, true);
  await sleep(TAKE_BACK_MS);
  const second = await claims.claim(createRequest());
  assert.equal(second.kind, 'granted');
});
