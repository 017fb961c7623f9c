import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {StepDefinition} from '../../work/job_definition.js';
import {HeldRooms, leavesHeldRoom} from './held_rooms.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

const ANY = (): boolean => true;

function createTask(id: string, fields: Partial<StepDefinition>): TaskState {
  const job = new JobState(simpleJob(id, {steps: [simpleStep(fields)]}), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  task!.waitingSinceMs = 0;
  return task!;
}

function run(worker: WorkerState, task: TaskState, startedMs: number): void {
  for (const event of ['assigned', 'committed', 'confirmed'] as const) {
    task.apply(event);
  }
  task.assignedMs = startedMs;
  task.startedMs = startedMs;
  worker.addTask(task);
}

/** Two workers of 8 cores; the first is free at 3 s, the second at 2 s. */
function createFixture(): {
  rooms: HeldRooms;
  first: WorkerState;
  second: WorkerState;
} {
  const workers = new Map<string, WorkerState>();
  for (const id of ['first', 'second']) {
    const worker = new WorkerState(simpleWorker(id));
    worker.bornMs = 1;
    workers.set(id, worker);
  }
  const first = workers.get('first')!;
  const second = workers.get('second')!;
  const duration = ({step}: TaskState): number => step.estimatedMs;
  run(first, createTask('a', {cpuMillicores: 6000, estimatedMs: 3000}), 0);
  run(second, createTask('b', {cpuMillicores: 6000, estimatedMs: 2000}), 0);
  return {rooms: new HeldRooms({workers, duration}), first, second};
}

const LARGE = {cpuMillicores: 8000};

test('room is held where the request is expected to fit first', () => {
  // Guards against a large task that waits on the worker which is free last.
  const {rooms, first, second} = createFixture();
  const large = createTask('large', LARGE);
  rooms.hold(large, ANY, 1000);
  assert.equal(first.heldRoom, undefined);
  assert.equal(second.heldRoom?.task, large);
  assert.equal(second.heldRoom?.fromMs, 2000);
});

test('a task that has just begun to wait gets no room', () => {
  // Guards against room that is held for each task which would find a gap.
  const {rooms} = createFixture();
  rooms.hold(createTask('large', LARGE), ANY, 100);
  assert.equal(rooms.count, 0);
});

test('others use held room only until it is needed, or beside it', () => {
  // Guards against small tasks that delay the holder, and against room that
  // stays empty although a short task would end in time.
  const {rooms, second} = createFixture();
  rooms.hold(createTask('large', LARGE), ANY, 1000);
  const small = simpleStep({cpuMillicores: 1000});
  const at = (expectedMs: number): boolean =>
    leavesHeldRoom(small, second, {expectedMs, nowMs: 1000});
  assert.equal(at(900), true);
  assert.equal(at(1500), false);
  const fills = simpleStep({usesLeftoverCpu: true, memoryMb: 16_000});
  const lasting = {expectedMs: Infinity, nowMs: 1000};
  assert.equal(leavesHeldRoom(fills, second, lasting), false);
});

test('room that does not come in time is given up', () => {
  // Guards against a wrong estimate that keeps a worker empty.
  const {rooms, second} = createFixture();
  const large = createTask('large', LARGE);
  rooms.hold(large, ANY, 1000);
  rooms.beginPass(2400);
  assert.equal(rooms.count, 1);
  rooms.beginPass(2600);
  assert.equal(rooms.count, 0);
  assert.equal(second.heldRoom, undefined);
});

test('room is given up when its task or its worker is gone', () => {
  // Guards against room that is held for a task which runs elsewhere, and on a
  // worker that takes no start any more.
  const {rooms, second} = createFixture();
  const large = createTask('large', LARGE);
  rooms.hold(large, ANY, 1000);
  large.apply('assigned');
  rooms.beginPass(1100);
  assert.equal(second.heldRoom, undefined);
  rooms.hold(createTask('other', LARGE), ANY, 1100);
  second.isEvacuated = true;
  rooms.beginPass(1200);
  assert.equal(rooms.count, 0);
});

test('best-effort tasks and gangs hold no room', () => {
  // Guards against room held by request for tasks whose place depends on
  // measured interference, or on several workers at once.
  const {rooms} = createFixture();
  rooms.hold(createTask('fill', {...LARGE, usesLeftoverCpu: true}), ANY, 1000);
  rooms.hold(createTask('gang', {...LARGE, isGang: true}), ANY, 1000);
  assert.equal(rooms.count, 0);
});
