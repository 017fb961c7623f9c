import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {CrashRole} from '../../work/crash_role.js';
import {BestEffortController} from '../placement/best_effort_controller.js';
import {JobState} from '../jobs/job_state.js';
import {InterferenceAwarePlacement} from '../placement/interference_aware_placement.js';
import {PlacementContext} from '../placement/task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

const NOW_MS = 100_000;
const placement = new InterferenceAwarePlacement(new BestEffortController());

const context: PlacementContext = {
  nowMs: NOW_MS,
  service: 'service',
  siblings: new Map(),
};

function createTask(id: string, isSuspect = false): TaskState {
  const job = new JobState(simpleJob(id), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  task!.waitingSinceMs = NOW_MS - 100;
  if (isSuspect) {
    task!.crashes.add({role: CrashRole.SUSPECT, isImmediate: true});
  }
  return task!;
}

/** Creates a worker that runs the given tasks, assigned `ageMs` ago. */
function createWorker(tasks: readonly TaskState[], ageMs: number): WorkerState {
  const worker = new WorkerState(simpleWorker('w'));
  worker.bornMs = 1;
  worker.lastReportMs = NOW_MS;
  for (const task of tasks) {
    task.assignedMs = NOW_MS - ageMs;
    worker.addTask(task);
  }
  return worker;
}

function canPlace(task: TaskState, worker: WorkerState): boolean {
  return typeof placement.evaluate(task, worker, context) === 'number';
}

test('nothing is placed beside a suspect until it is proven', () => {
  // Guards against work that is lost beside a task that crashes its workers.
  const suspect = createTask('suspect', true);
  const worker = createWorker([suspect], 5000);
  assert.equal(canPlace(createTask('other'), worker), false);
  suspect.isProven = true;
  assert.equal(canPlace(createTask('other'), worker), true);
});

test('a suspect is not placed where another task has just started', () => {
  // Guards against a crash of which it is not clear which start caused it.
  const suspect = createTask('suspect', true);
  assert.equal(canPlace(suspect, createWorker([createTask('a')], 100)), false);
  assert.equal(canPlace(suspect, createWorker([createTask('a')], 500)), true);
});

test('a suspect does not wait for ever for a worker without new tasks', () => {
  // Guards against an innocent suspect that never runs, because something
  // starts on each worker all the time.
  const suspect = createTask('suspect', true);
  suspect.isolatedSinceMs = NOW_MS - 2500;
  assert.equal(canPlace(suspect, createWorker([createTask('a')], 100)), true);
});

test('a suspect prefers the worker with the least other work', () => {
  // Guards against many tasks that are lost with the next crash.
  const suspect = createTask('suspect', true);
  const busy = createWorker(
    ['a', 'b', 'c'].map((id) => createTask(id)),
    5000,
  );
  const idle = createWorker([createTask('d')], 5000);
  const score = (worker: WorkerState): number =>
    placement.evaluate(suspect, worker, context) as number;
  assert.ok(score(idle) > score(busy));
});

test('a suspect prefers another machine than the one that crashed under it', () => {
  // Guards against a machine that crashes by itself and, being empty, gets the
  // same suspect again until its job is given up; and against a crashing task
  // that a machine excuses.
  const suspect = createTask('suspect', true);
  const busy = createWorker([createTask('a'), createTask('b')], 5000);
  const crashed = createWorker([], 5000);
  crashed.register({...crashed.registration, address: '127.0.0.1:9'});
  suspect.crashedAddress = '127.0.0.1:9';
  const score = (worker: WorkerState): number =>
    Number(placement.evaluate(suspect, worker, context));
  assert.ok(score(busy) > score(crashed));
});
