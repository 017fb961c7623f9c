import assert from 'node:assert/strict';
import {test} from 'node:test';

import {CrashPart} from '../../work/crash_part.js';
import {CrashRole} from '../../work/crash_role.js';
import {toCrashCounts} from '../../work/stored_crash_counts.js';
import {CrashCounts} from './crash_counts.js';

const {CAUSE, SUSPECT, BYSTANDER} = CrashRole;

/** Crash under a run that was seen, immediately after its start or later. */
function crash(role: CrashRole, fields: Partial<CrashPart> = {}): CrashPart {
  return {role, isImmediate: true, hasBegun: true, isAlone: false, ...fields};
}

function isOverLimit(...parts: readonly CrashPart[]): boolean {
  const counts = new CrashCounts();
  for (const part of parts) counts.add(part);
  return counts.isOverLimit;
}

const IN_DOUBT = {hasBegun: false} as const;
const LATE = {isImmediate: false} as const;

test('one crash is never enough to end a job', () => {
  // Guards against a job that is given up for a single crash of a worker.
  for (const role of Object.values(CrashRole)) {
    assert.equal(isOverLimit(crash(role, {isAlone: true})), false, role);
  }
});

test('a second crash under a task alone on its worker ends its job', () => {
  // Guards against a third worker that is lost although the cause is clear.
  const alone = crash(CAUSE, {isAlone: true});
  assert.equal(isOverLimit(crash(SUSPECT), alone), true);
  assert.equal(isOverLimit(crash(SUSPECT), crash(SUSPECT)), false);
  assert.equal(isOverLimit(crash(SUSPECT), crash(CAUSE, LATE)), false);
});

test('crashes beside others end a job only with two that it caused', () => {
  // Guards against an innocent job that is given up because the worker of one
  // of its tasks crashed twice, once for a neighbor that was not suspected.
  assert.equal(isOverLimit(crash(SUSPECT), crash(CAUSE)), false);
  assert.equal(isOverLimit(crash(SUSPECT), crash(CAUSE), crash(CAUSE)), true);
});

test('a start that nobody has seen does not count as a crash', () => {
  // Guards against a job that is given up for the crash of a worker on which
  // its task has never run.
  const inDoubt = crash(SUSPECT, IN_DOUBT);
  const alone = crash(CAUSE, {isAlone: true});
  assert.equal(isOverLimit(inDoubt, alone), false);
  assert.equal(isOverLimit(...Array<CrashPart>(9).fill(inDoubt)), false);
});

test('three crashes with no other likely cause end a job', () => {
  // Guards against tasks whose crashes never count, because their workers crash
  // before they can confirm the start, or long after it.
  for (const fields of [IN_DOUBT, LATE]) {
    const likely = crash(CAUSE, fields);
    assert.equal(isOverLimit(crash(SUSPECT, fields), likely, likely), false);
    assert.equal(isOverLimit(likely, likely, likely), true);
  }
  const onBadMachine = crash(SUSPECT, {isOnlyTask: true});
  assert.equal(isOverLimit(onBadMachine, onBadMachine), false);
  assert.equal(isOverLimit(onBadMachine, onBadMachine, onBadMachine), true);
});

test('three crashes of silent workers on which nothing else was end a job', () => {
  // Guards against a task that crashes its workers before a start is confirmed,
  // and whose workers are noticed only by polls that time out.
  const silent = crash(CAUSE, {...LATE, ...IN_DOUBT, isAlone: true});
  assert.equal(isOverLimit(silent, silent), false);
  assert.equal(isOverLimit(silent, silent, silent), true);
  const beside = {...silent, isAlone: false};
  assert.equal(isOverLimit(beside, beside, beside, beside), false);
});

test('crashes beside a more likely cause never end a job', () => {
  // Guards against an innocent job that is given up because it stood on four
  // workers that other tasks crashed.
  const beside = Array<CrashPart>(9).fill(crash(BYSTANDER));
  assert.equal(isOverLimit(...beside, crash(SUSPECT)), false);
});

test('a task is given up before its third start after three crashes', () => {
  // Guards against a task that crashes workers without end because each crash
  // has several possible causes.
  const suspected = Array<CrashPart>(5).fill(crash(SUSPECT));
  assert.equal(isOverLimit(...suspected.slice(1)), false);
  assert.equal(isOverLimit(...suspected), true);
});

test('stored counts are restored', () => {
  // Guards against a successor that does not know of earlier crashes.
  const counts = new CrashCounts();
  counts.add(crash(SUSPECT));
  counts.add(crash(CAUSE, {isAlone: true}));
  const restored = new CrashCounts();
  restored.restore(toCrashCounts(counts.toRecord()));
  assert.equal(restored.isOverLimit, true);
});

test('counts of earlier builds are restored as likely causes', () => {
  // Guards against a job that an upgrade gives up, since earlier builds counted
  // starts in doubt like runs; and against crashes that it forgets.
  const restored = new CrashCounts();
  restored.restore(
    toCrashCounts({caused: 1, suspected: 1, beside: 0, immediate: 2}),
  );
  assert.equal(restored.isOverLimit, false);
  assert.equal(restored.isSuspect, true);
  restored.add(crash(CAUSE));
  restored.add(crash(CAUSE));
  assert.equal(restored.isOverLimit, true);
});
