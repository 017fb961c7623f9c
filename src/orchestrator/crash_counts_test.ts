import assert from 'node:assert/strict';
import {test} from 'node:test';

import {CrashRole} from '../work/crash_role.js';
import {CrashCounts} from './crash_counts.js';

/** Returns the counts after crashes in these roles. */
function countsOf(
  roles: readonly CrashRole[],
  isImmediate = false,
): CrashCounts {
  const counts = new CrashCounts();
  for (const role of roles) counts.add({role, isImmediate});
  return counts;
}

test('one crash is never enough to end a job', () => {
  // Guards against a job that is given up for a single crash of a worker.
  for (const role of Object.values(CrashRole)) {
    assert.equal(countsOf([role], true).isOverLimit, false, role);
  }
});

test('two crashes right after its starts end a job, one of them caused alone', () => {
  // Guards against a third worker that is lost although the cause is clear.
  const {CAUSE, SUSPECT} = CrashRole;
  assert.equal(countsOf([SUSPECT, CAUSE], true).isOverLimit, true);
  assert.equal(countsOf([SUSPECT, SUSPECT], true).isOverLimit, false);
  assert.equal(countsOf([SUSPECT, CAUSE]).isOverLimit, false);
});

test('a task is given up after four crashes in any role', () => {
  // Guards against a task that crashes workers without end because each crash
  // has several possible causes.
  const {BYSTANDER, SUSPECT} = CrashRole;
  const roles = [BYSTANDER, SUSPECT, BYSTANDER];
  assert.equal(countsOf(roles).isOverLimit, false);
  assert.equal(countsOf([...roles, SUSPECT]).isOverLimit, true);
});

test('stored counts are restored', () => {
  // Guards against a successor that does not know of earlier crashes.
  const counts = countsOf([CrashRole.SUSPECT, CrashRole.CAUSE], true);
  const restored = new CrashCounts();
  restored.restore(counts.toRecord());
  assert.equal(restored.isOverLimit, true);
});
