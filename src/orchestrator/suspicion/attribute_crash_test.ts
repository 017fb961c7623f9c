import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {CrashRole} from '../../work/crash_role.js';
import {attributeCrash, CrashScene} from './attribute_crash.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';

const LOST_MS = 60_000;

/** Creates a running task whose start was sent `ageMs` before the crash. */
function createTask(
  ageMs: number,
  {isSuspect = false, isProven = false} = {},
): TaskState {
  const steps = [simpleStep()];
  const job = new JobState(simpleJob(`job${ageMs}${isSuspect}`, {steps}), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  for (const event of ['assigned', 'committed', 'confirmed'] as const) {
    task!.apply(event);
  }
  task!.startedMs = LOST_MS - ageMs;
  task!.isProven = isProven;
  if (isSuspect) {
    task!.crashes.add({role: CrashRole.SUSPECT, isImmediate: true});
  }
  return task!;
}

function rolesOf(
  tasks: readonly TaskState[],
  scene: Partial<CrashScene> = {},
): Array<CrashRole | undefined> {
  const parts = attributeCrash({tasks, lostMs: LOST_MS, ...scene});
  return tasks.map((task) => parts.get(task)?.role);
}

test('a suspect that has just started is the cause, not what stands beside it', () => {
  // Guards against work that becomes suspect because it shared a worker with a
  // task that crashes it.
  const suspect = createTask(20, {isSuspect: true});
  const tasks = [createTask(9000), suspect, createTask(20_000)];
  assert.deepEqual(rolesOf(tasks), [undefined, CrashRole.CAUSE, undefined]);
});

test('a suspect is not the cause if another task has just started too', () => {
  // Guards against an innocent suspect that is blamed for the first crashes of
  // another task, which in turn are not counted (soak seed 3002).
  const suspect = createTask(20, {isSuspect: true});
  const expected = [CrashRole.SUSPECT, CrashRole.SUSPECT];
  assert.deepEqual(rolesOf([suspect, createTask(30)]), expected);
});

test('a start before that of the cause counts as a crash beside it', () => {
  // Guards against a task that crashes its workers a second after its start
  // and is never counted, because later starts are blamed.
  const suspect = createTask(20, {isSuspect: true});
  const expected = [CrashRole.CAUSE, CrashRole.BYSTANDER];
  assert.deepEqual(rolesOf([suspect, createTask(1000)]), expected);
});

test('a suspect that has run long is the cause if nothing has just started', () => {
  // Guards against a task that crashes its workers late and is never blamed.
  const suspect = createTask(9000, {isSuspect: true, isProven: true});
  const tasks = [suspect, createTask(20_000)];
  assert.deepEqual(rolesOf(tasks), [CrashRole.CAUSE, undefined]);
});

test('without a suspect, tasks that have just started are suspect', () => {
  // Guards against a crash for which all work of a worker is held back.
  const tasks = [createTask(20), createTask(20_000)];
  const expected = [CrashRole.SUSPECT, CrashRole.BYSTANDER];
  assert.deepEqual(rolesOf(tasks), expected);
});

test('all tasks are suspect if none has just started', () => {
  // Guards against a task that is never suspect because it crashes its workers
  // long after its start.
  const tasks = [createTask(9000), createTask(20_000)];
  assert.deepEqual(rolesOf(tasks), [CrashRole.SUSPECT, CrashRole.SUSPECT]);
});

test('a suspect that has run for a time is no cause while others start', () => {
  // Guards against an innocent suspect that is blamed for the first crash of
  // another task.
  const suspect = createTask(9000, {isSuspect: true, isProven: true});
  const expected = [CrashRole.SUSPECT, CrashRole.SUSPECT];
  assert.deepEqual(rolesOf([suspect, createTask(20)]), expected);
});

test('a suspect is not the cause on a machine that keeps crashing', () => {
  // Guards against work that is given up because a machine is faulty.
  const suspect = createTask(20, {isSuspect: true});
  const roles = rolesOf([suspect], {isMachineUnreliable: true});
  assert.deepEqual(roles, [CrashRole.SUSPECT]);
});

test('the loss of many workers at once makes no running task suspect', () => {
  // Guards against work that is given up because a rack lost power.
  const tasks = [createTask(400), createTask(9000, {isSuspect: true})];
  const roles = rolesOf(tasks, {isWidespread: true});
  assert.deepEqual(roles, [undefined, undefined]);
});

test('tasks that crash many workers at once are still counted', () => {
  // A wave of submissions with crashing tasks takes down several workers a
  // second. Guards against crashing tasks that excuse each other (hunt of
  // kettridge-mux, deadly_heavy.toml, seed 36415441081).
  const suspect = createTask(20, {isSuspect: true});
  const tasks = [createTask(9000), suspect];
  const roles = rolesOf(tasks, {isWidespread: true});
  assert.deepEqual(roles, [undefined, CrashRole.CAUSE]);
  assert.deepEqual(rolesOf([createTask(20)], {isWidespread: true}), [
    CrashRole.SUSPECT,
  ]);
});

test('a suspect that has just started counts in the loss of many workers', () => {
  // Guards against a crashing task whose crashes do not count while others crash
  // workers as well, because the owner was slow to notice them.
  const tasks = [createTask(400, {isSuspect: true}), createTask(9000)];
  const roles = rolesOf(tasks, {isWidespread: true});
  assert.deepEqual(roles, [CrashRole.CAUSE, undefined]);
});

test('a run that was sent after the worker was lost has no part', () => {
  // Guards against a task that is blamed for a worker that was already down.
  assert.deepEqual(rolesOf([createTask(-10)]), [undefined]);
});

test('only tasks that started immediately before a crash are suspect', () => {
  // Guards against suspicion of all tasks that started within the last second
  // or two, which would hold back many innocent ones.
  const tasks = [createTask(10), createTask(1200)];
  const expected = [CrashRole.SUSPECT, CrashRole.BYSTANDER];
  assert.deepEqual(rolesOf(tasks), expected);
});

test('a rack that goes silent makes no task suspect that has just started', () => {
  // Workers without power are noticed when their polls time out; what was sent
  // to them meanwhile never ran. Guards against work that is blamed for it.
  const tasks = [createTask(20), createTask(9000)];
  const scene = {isWidespread: true, isLossTimeKnown: false};
  assert.deepEqual(rolesOf(tasks, scene), [undefined, undefined]);
});

/** Turns a task into one whose start was sent but never confirmed. */
function withoutAnswer(task: TaskState): TaskState {
  task.hasBegun = false;
  return task;
}

test('a suspect is not the cause beside a start that is in doubt', () => {
  // Guards against an innocent suspect that is blamed for a task whose start the
  // worker has held back and carried out seconds later.
  const suspect = createTask(20, {isSuspect: true});
  const inDoubt = withoutAnswer(createTask(6000));
  const expected = [CrashRole.SUSPECT, CrashRole.SUSPECT];
  assert.deepEqual(rolesOf([suspect, inDoubt]), expected);
});

test('a start that is in doubt does not excuse others of the last second', () => {
  // Guards against a crashing task that is never suspect, because the owner was
  // slow to notice the crash and another start was not answered.
  const tasks = [createTask(400), withoutAnswer(createTask(400))];
  assert.deepEqual(rolesOf(tasks), [CrashRole.SUSPECT, CrashRole.SUSPECT]);
});

test('the part of a task tells whether its run was seen', () => {
  // Guards against a job that is given up for a start that was only sent.
  const tasks = [createTask(20), withoutAnswer(createTask(30))];
  const parts = attributeCrash({tasks, lostMs: LOST_MS});
  const seen = tasks.map((task) => parts.get(task)?.hasBegun);
  assert.deepEqual(seen, [true, false]);
});

test('suspects of one job are the cause together', () => {
  // Guards against a gang that crashes workers without end, because its members
  // keep the cause open for each other.
  const steps = [simpleStep({taskCount: 2, isGang: true})];
  const job = new JobState(simpleJob('gang', {steps}), 0);
  const members = job.occurrence(0).steps[0]!.tasks;
  for (const member of members) {
    member.startedMs = LOST_MS - 20;
    member.hasBegun = true;
    for (const event of ['assigned', 'committed', 'confirmed'] as const) {
      member.apply(event);
    }
    member.crashes.add({role: CrashRole.SUSPECT, isImmediate: true});
  }
  assert.deepEqual(rolesOf(members), [CrashRole.CAUSE, CrashRole.CAUSE]);
});

test('a task is alone only with no other task or unknown run beside it', () => {
  // Guards against a job that is given up after two crashes although something
  // else was on the worker.
  const suspect = createTask(20, {isSuspect: true});
  const isAlone = (scene: Partial<CrashScene>): boolean | undefined =>
    attributeCrash({tasks: [suspect], lostMs: LOST_MS, ...scene}).get(suspect)
      ?.isAlone;
  assert.equal(isAlone({}), true);
  assert.equal(isAlone({hasOrphans: true}), false);
  assert.equal(isAlone({isWidespread: true}), false);
  assert.equal(isAlone({tasks: [suspect, createTask(9000)]}), false);
});

test('a start of an earlier owner is not taken for one just before the crash', () => {
  // Guards against work that is blamed because its owner was replaced a moment
  // before the crash.
  const inherited = createTask(0, {isSuspect: true, isProven: true});
  inherited.startedMs = -Infinity;
  const parts = attributeCrash({tasks: [inherited], lostMs: LOST_MS});
  assert.equal(parts.get(inherited)?.isImmediate, false);
  assert.equal(parts.get(inherited)?.isUnproven, false);
});

test('a task that crashes silent workers before it is seen is given up', () => {
  // Guards against a task that crashes one worker after another: its starts are
  // never confirmed, and the polls of its workers time out, so that the time of
  // the loss is not known. Nothing else is on any of them.
  const steps = [simpleStep()];
  const job = new JobState(simpleJob('silent', {steps}), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  const worst = 10;
  let crashes = 0;
  while (crashes < worst && !task!.crashes.isOverLimit) {
    task!.apply('assigned');
    task!.apply('committed');
    task!.startedMs = LOST_MS - 1000;
    const scene = {tasks: [task!], lostMs: LOST_MS, isLossTimeKnown: false};
    task!.crashes.add(attributeCrash(scene).get(task!)!);
    task!.apply('ended');
    crashes += 1;
  }
  assert.ok(crashes < worst, `${crashes} workers crashed`);
});
