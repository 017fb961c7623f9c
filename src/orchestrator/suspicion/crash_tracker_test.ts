import assert from 'node:assert/strict';
import {test} from 'node:test';

import {silentLog} from '../../../testing/silent_log.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {CrashRole} from '../../work/crash_role.js';
import {JobPhase} from '../../work/job_definition.js';
import {CrashTracker} from './crash_tracker.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

interface Fixture {
  tracker: CrashTracker;
  clock: ManualClock;
}

function createTracker(onCrash = (): void => undefined): Fixture {
  const clock = new ManualClock();
  const tracker = new CrashTracker({
    clock,
    log: silentLog(),
    workers: () => [],
    onCrash,
    onCounted: () => undefined,
  });
  return {tracker, clock};
}

/** Creates a worker at an address of its own that runs one task. */
function createWorker(number: number, clock: ManualClock): WorkerState {
  const address = `127.0.0.1:${number + 1}`;
  const worker = new WorkerState(simpleWorker(`w${number}`, {address}));
  worker.bornMs = 1;
  const job = new JobState(simpleJob(`job${number}`), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  for (const event of ['assigned', 'committed', 'confirmed'] as const) {
    task!.apply(event);
  }
  task!.startedMs = clock.nowMs();
  worker.addTask(task!);
  return worker;
}

function taskOn(worker: WorkerState): TaskState {
  return [...worker.tasks][0]!;
}

test('a crash that is noticed in several ways counts once', () => {
  // Guards against a task that is given up because its only crash was counted
  // at the end of the lease, by another incarnation, and by its report.
  const {tracker, clock} = createTracker();
  const worker = createWorker(0, clock);
  const task = taskOn(worker);
  tracker.recordSilence(worker);
  tracker.recordLeaseEnd(worker);
  tracker.recordCrash(worker, 'replaced');
  const address = {address: worker.registration.address};
  const successor = new WorkerState(simpleWorker('next', address));
  tracker.settleLosses(successor);
  tracker.settleLosses(successor);
  const {caused, suspected, beside} = task.crashes.toRecord();
  assert.equal(caused + suspected + beside, 1);
});

test('losses of jobs that have ended are not kept', () => {
  // Guards against memory that grows with each worker that never returns.
  const {tracker, clock} = createTracker();
  for (let number = 0; number < 50; number++) {
    const worker = createWorker(number, clock);
    const {job} = taskOn(worker);
    tracker.recordSilence(worker);
    tracker.recordLeaseEnd(worker);
    job.phase = JobPhase.CANCELLED;
    clock.advance(10_000);
  }
  assert.ok(tracker.openLossCount <= 1);
});

test('a worker that leaves as planned has not crashed', () => {
  // Guards against work that is given up because its workers are drained and
  // replaced one after another.
  const {tracker, clock} = createTracker();
  const worker = createWorker(0, clock);
  worker.register({...worker.registration, isDraining: true});
  tracker.recordCrash(worker, 'replaced');
  assert.ok(taskOn(worker).crashes.isEmpty);
});

test('a task that runs for long is no suspect any more', () => {
  // Guards against long-running tasks that collect crashes over days until
  // they are given up.
  const {tracker, clock} = createTracker();
  const task = taskOn(createWorker(0, clock));
  task.crashes.add({role: 'suspect', isImmediate: false});
  const worker = new WorkerState(simpleWorker('next'));
  worker.addTask(task);
  task.runningSinceMs = clock.nowMs();
  clock.advance(1000);
  tracker.recordProgress(worker, clock.nowMs());
  assert.ok(task.isProven && task.isSuspect);
  clock.advance(30_000);
  tracker.recordProgress(worker, clock.nowMs());
  assert.ok(!task.isSuspect && task.crashes.isEmpty);
});

test('a worker that answers again with its runs has not crashed', () => {
  // Guards against work that is counted as crashing because its worker was cut
  // off until its lease had ended.
  const {tracker, clock} = createTracker();
  const worker = createWorker(0, clock);
  const task = taskOn(worker);
  tracker.recordSilence(worker);
  tracker.recordLeaseEnd(worker);
  assert.equal(task.losses.length, 1);
  tracker.recordAnswer(worker);
  tracker.settleLosses(worker);
  assert.equal(task.losses.length, 0);
  assert.ok(task.crashes.isEmpty);
});

test('a start that was confirmed after a failed poll counts', () => {
  // A poll fails also when its connection breaks. Guards against a task that is
  // started again and again, because its worker was taken for lost before the
  // start (kettridge-mux, deadly_double.toml, seed 5).
  const {tracker, clock} = createTracker();
  const worker = createWorker(0, clock);
  const task = taskOn(worker);
  tracker.recordSilence(worker);
  clock.advance(5);
  task.startedMs = clock.nowMs();
  clock.advance(5);
  tracker.recordConfirmation(worker, task.startedMs);
  clock.advance(3000);
  tracker.recordCrash(worker, 'replaced');
  assert.equal(task.crashes.toRecord().suspected, 1);
});

test('a loss that is stored with several tasks counts as one crash', () => {
  // Guards against a machine that counts as unreliable after a takeover, since
  // each bystander of a crash with a known cause stood for a crash without one;
  // the next crash there was then not held against its cause.
  let crashes = 0;
  const {tracker, clock} = createTracker(() => (crashes += 1));
  const loss = {workerId: 'lost', bornMs: 1, address: '127.0.0.1:9'};
  const [cause, bystander] = [1, 2].map((number) =>
    taskOn(createWorker(number, clock)),
  );
  const cases = [
    {task: cause!, role: CrashRole.CAUSE},
    {task: bystander!, role: CrashRole.BYSTANDER},
  ];
  for (const {task, role} of [...cases, ...cases]) {
    const part = {role, isImmediate: true, hasBegun: true};
    tracker.restoreLoss(task, {...loss, part});
  }
  assert.equal(tracker.openLossCount, 1);
  assert.equal(bystander!.losses.length, 1);
  const {address} = loss;
  const successor = new WorkerState(simpleWorker('next', {address}));
  tracker.settleLosses(successor);
  assert.equal(crashes, 1);
  assert.equal(cause!.crashes.toRecord().caused, 1);
  successor.bornMs = 2;
  successor.addTask(cause!);
  cause!.startedMs = clock.nowMs();
  tracker.recordSilence(successor);
  tracker.recordCrash(successor, 'replaced');
  assert.equal(cause!.crashes.toRecord().caused, 2);
});
