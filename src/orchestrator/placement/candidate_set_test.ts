import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {BestEffortController} from './best_effort_controller.js';
import {CandidateSet} from './candidate_set.js';
import {JobState} from '../jobs/job_state.js';
import {InterferenceAwarePlacement} from './interference_aware_placement.js';
import {PlacementContext} from './task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

const NOW_MS = 1000;
const CONTEXT: PlacementContext = {
  nowMs: NOW_MS,
  service: 'service',
  siblings: new Map(),
};

function createWorkers(processors: readonly number[]): WorkerState[] {
  return processors.map((cores, number) => {
    const capacity = {
      cpuMillicores: cores * 1000,
      memoryMb: 16_000,
      acceleratorCount: 0,
    };
    const worker = new WorkerState(simpleWorker(`w${number}`, {capacity}));
    worker.bornMs = 1;
    worker.lastReportMs = NOW_MS;
    return worker;
  });
}

function createTasks(taskCount: number): TaskState[] {
  const step = simpleStep({taskCount});
  const job = new JobState(simpleJob('job', {steps: [step]}), 0);
  job.createDueOccurrences(0);
  return [...job.tasks()];
}

/** Places each task by an evaluation of all workers. */
function placeOneByOne(
  tasks: readonly TaskState[],
  workers: readonly WorkerState[],
): Array<string | undefined> {
  const placement = new InterferenceAwarePlacement(new BestEffortController());
  return tasks.map((task) => {
    let best: WorkerState | undefined;
    let bestScore = -Infinity;
    for (const worker of workers) {
      const score = placement.evaluate(task, worker, CONTEXT);
      if (typeof score !== 'number' || score <= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    best?.addTask(task);
    return best?.registration.id;
  });
}

function placeFromSet(
  tasks: readonly TaskState[],
  workers: readonly WorkerState[],
): Array<string | undefined> {
  const placement = new InterferenceAwarePlacement(new BestEffortController());
  const set = new CandidateSet({
    task: tasks[0]!,
    workers,
    placement,
    context: CONTEXT,
  });
  return tasks.map((task) => {
    const worker = set.best();
    if (!worker) return undefined;
    worker.addTask(task);
    set.update(worker);
    return worker.registration.id;
  });
}

test('a wide step is placed as if all workers were evaluated for each task', () => {
  // Guards against worse placement by scores that were kept from before an
  // assignment.
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 6}), {minLength: 1, maxLength: 12}),
      fc.integer({min: 1, max: 40}),
      (processors, taskCount) => {
        const expected = placeOneByOne(
          createTasks(taskCount),
          createWorkers(processors),
        );
        const actual = placeFromSet(
          createTasks(taskCount),
          createWorkers(processors),
        );
        assert.deepEqual(actual, expected);
      },
    ),
    {seed: 1},
  );
});
