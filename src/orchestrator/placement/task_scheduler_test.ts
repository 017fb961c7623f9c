import assert from 'node:assert/strict';
import {test} from 'node:test';

import {createQueueTable} from '../../../testing/create_queue_table.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {DeadlineOrder} from '../jobs/job_order.js';
import {JobState} from '../jobs/job_state.js';
import {StepAdvice} from './step_advice.js';
import {TaskPlacement} from './task_placement.js';
import {TaskScheduler} from './task_scheduler.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerExclusion} from './worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

const WORKERS = 600;
const WAITING_JOBS = 50;
const PASS_INTERVAL_MS = 10;

/** Places a task wherever CPU is free, and counts the evaluations. */
class CountingPlacement implements TaskPlacement {
  evaluations = 0;
  /** Job for which each evaluation fails. */
  failingJob: string | undefined;

  evaluate(task: TaskState, worker: WorkerState): number | WorkerExclusion {
    if (task.job.definition.id === this.failingJob) {
      throw new Error('unexpected');
    }
    this.evaluations += 1;
    const isFree = worker.freeCpu >= task.step.cpuMillicores;
    return isFree ? worker.freeCpu : WorkerExclusion.CPU;
  }
}

interface Fixture {
  placement: CountingPlacement;
  workers: WorkerState[];
  assigned: TaskState[];
  /** Jobs that could not be scheduled, once a pass. */
  failedJobs: string[];
  /** Runs passes for a duration in ms. */
  run: (durationMs: number) => void;
}

/** Creates workers without free capacity and jobs that wait for it. */
function createOverload(): Fixture {
  const placement = new CountingPlacement();
  const workers = new Map<string, WorkerState>();
  const assigned: TaskState[] = [];
  const failedJobs: string[] = [];
  for (let number = 0; number < WORKERS; number++) {
    const worker = new WorkerState(simpleWorker(`w${number}`));
    worker.bornMs = 1;
    worker.addTask(createTask(`running${number}`, 8000));
    workers.set(worker.registration.id, worker);
  }
  const jobs = Array.from({length: WAITING_JOBS}, (_, number) => {
    // Previews of different callers request different amounts.
    const memoryMb = 1000 + number;
    return createJob(`waiting${number}`, {taskCount: 4, memoryMb});
  });
  const scheduler = new TaskScheduler({
    workers,
    order: new DeadlineOrder(),
    placement,
    advice: new StepAdvice(),
    queues: createQueueTable(),
    onAssign: (task, worker, run) => {
      task.apply('assigned');
      task.run = run;
      worker.addTask(task);
      assigned.push(task);
    },
    onWithdraw: () => undefined,
    onMove: () => undefined,
    onJobError: (job) => failedJobs.push(job.definition.id),
  });
  let nowMs = 0;
  return {
    placement,
    workers: [...workers.values()],
    assigned,
    failedJobs,
    run: (durationMs) => {
      const endMs = nowMs + durationMs;
      for (; nowMs < endMs; nowMs += PASS_INTERVAL_MS) {
        scheduler.schedule(jobs, {nowMs, wallMs: nowMs});
      }
    },
  };
}

function createJob(
  id: string,
  fields: Parameters<typeof simpleStep>[0],
): JobState {
  const job = new JobState(simpleJob(id, {steps: [simpleStep(fields)]}), 0);
  job.createDueOccurrences(0);
  return job;
}

function createTask(id: string, cpuMillicores: number): TaskState {
  return [...createJob(id, {cpuMillicores}).tasks()][0]!;
}

test('a burst that waits for capacity does not evaluate unchanged workers', () => {
  // A burst of jobs beyond the capacity of the fleet. Guards against an owner
  // that spends its processor time on searches whose outcome cannot differ, and
  // then answers polls and starts tasks late.
  const {placement, assigned, run} = createOverload();
  run(100);
  const first = placement.evaluations;
  assert.equal(first, WORKERS * WAITING_JOBS);
  run(150);
  assert.equal(placement.evaluations, first);
  assert.equal(assigned.length, 0);
});

test('capacity that becomes free is used in the next pass', () => {
  // Guards against idle workers because of a remembered lack of capacity.
  const {workers, assigned, run} = createOverload();
  run(100);
  const worker = workers[17]!;
  for (const task of [...worker.tasks]) worker.removeTask(task);
  run(PASS_INTERVAL_MS);
  assert.equal(assigned.length, 8);
  assert.equal(worker.freeCpu, 0);
});

test('capacity that appears without a change of the worker is found', () => {
  // Guards against a worker that stays idle after its block has ended.
  const {placement, run} = createOverload();
  run(100);
  const before = placement.evaluations;
  run(400);
  assert.ok(placement.evaluations >= before + WORKERS * WAITING_JOBS);
});

test('a job that cannot be scheduled does not keep others from starting', () => {
  // Guards against an unexpected error that ends the process of the owner, and
  // that of each successor, because of one job.
  const {placement, workers, assigned, failedJobs, run} = createOverload();
  placement.failingJob = 'waiting0';
  for (const task of [...workers[17]!.tasks]) workers[17]!.removeTask(task);
  run(PASS_INTERVAL_MS);
  assert.equal(assigned.length, 8);
  assert.deepEqual(failedJobs, ['waiting0']);
});
