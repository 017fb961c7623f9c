import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {CrashRole} from '../../work/crash_role.js';
import {StepDefinition} from '../../work/job_definition.js';
import {BestEffortController} from './best_effort_controller.js';
import {JobState} from '../jobs/job_state.js';
import {InterferenceAwarePlacement} from './interference_aware_placement.js';
import {PlacementContext} from './task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerExclusion} from './worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

const NOW_MS = 100_000;

interface Situation {
  step: StepDefinition;
  worker: WorkerState;
  task: TaskState;
  context: PlacementContext;
}

/** Makes a worker that suits a task unsuitable for one reason. */
type Obstacle = (situation: Situation) => void;

function createTask(id: string, step: StepDefinition): TaskState {
  const job = new JobState(simpleJob(id, {steps: [step]}), 0);
  return job.occurrence(0).steps[0]!.tasks[0]!;
}

function markSuspect(task: TaskState): void {
  task.crashes.add({role: CrashRole.SUSPECT, isImmediate: true});
}

/** Uses resources of a worker, none by default. */
function occupy(worker: WorkerState, fields: Partial<StepDefinition>): void {
  const nothing = {cpuMillicores: 0, memoryMb: 0};
  worker.addTask(createTask('other', simpleStep({...nothing, ...fields})));
}

const OBSTACLES: ReadonlyMap<WorkerExclusion, Obstacle> = new Map([
  [
    WorkerExclusion.OTHER_SERVICE,
    ({context}) => (context.service = 'other service'),
  ],
  [WorkerExclusion.UNREGISTERED, ({worker}) => (worker.isRegistered = false)],
  [WorkerExclusion.NOT_REPORTED, ({worker}) => (worker.bornMs = undefined)],
  [WorkerExclusion.ENDED, ({worker}) => (worker.hasEnded = true)],
  [
    WorkerExclusion.DRAINING,
    ({worker}) => worker.register({...worker.registration, isDraining: true}),
  ],
  [WorkerExclusion.UNKNOWN_RUNS, ({worker}) => (worker.hasUnknownRuns = true)],
  [WorkerExclusion.SILENT, ({worker}) => (worker.lostMs = NOW_MS)],
  [
    WorkerExclusion.REPORT_TOO_OLD,
    ({worker}) => (worker.lastReportMs = NOW_MS - 3501),
  ],
  [WorkerExclusion.BLOCKED, ({worker}) => worker.health.block(NOW_MS, 1)],
  [WorkerExclusion.NO_TICKET, ({context}) => (context.isAllowed = () => false)],
  [
    WorkerExclusion.UNPROVEN_SUSPECT,
    ({worker}) => {
      const step = simpleStep({cpuMillicores: 0, memoryMb: 0});
      const suspect = createTask('suspect', step);
      markSuspect(suspect);
      worker.addTask(suspect);
    },
  ],
  [
    WorkerExclusion.RECENT_ASSIGNMENT,
    ({task, worker}) => {
      markSuspect(task);
      worker.lastStartMs = NOW_MS - 349;
    },
  ],
  [
    WorkerExclusion.MISSING_LABEL,
    ({step}) => (step.requiredLabel = 'unknown label'),
  ],
  [
    WorkerExclusion.STEP_LIMIT,
    ({step, context}) => {
      step.mostPerWorker = 2;
      context.siblings = new Map([['w', 2]]);
    },
  ],
  [WorkerExclusion.MEMORY, ({worker}) => occupy(worker, {memoryMb: 15_001})],
  [WorkerExclusion.ACCELERATORS, ({step}) => (step.acceleratorCount = 1)],
  [WorkerExclusion.CPU, ({worker}) => occupy(worker, {cpuMillicores: 7001})],
] satisfies Array<[WorkerExclusion, Obstacle]>);

/** Evaluates a suitable worker for which some obstacles were added. */
function evaluate(
  obstacles: readonly WorkerExclusion[],
  bestEffort = new BestEffortController(),
  fields: Partial<StepDefinition> = {},
): number | WorkerExclusion {
  const step = simpleStep(fields);
  const task = createTask('job', step);
  task.waitingSinceMs = NOW_MS - 100;
  const worker = new WorkerState(simpleWorker('w'));
  worker.bornMs = 1;
  worker.lastReportMs = NOW_MS;
  const context = {nowMs: NOW_MS, service: 'service', siblings: new Map()};
  const situation: Situation = {step, worker, task, context};
  for (const reason of obstacles) OBSTACLES.get(reason)!(situation);
  const placement = new InterferenceAwarePlacement(bestEffort);
  return placement.evaluate(task, worker, context);
}

test('a worker has a score exactly if nothing excludes it', () => {
  // Guards against an explanation that names a reason which does not hold, and
  // against a decision that ignores one which does.
  fc.assert(
    fc.property(fc.subarray([...OBSTACLES.keys()]), (obstacles) => {
      const result = evaluate(obstacles);
      if (obstacles.length === 0) assert.equal(typeof result, 'number');
      else assert.ok(obstacles.some((reason) => reason === result));
    }),
    {seed: 1, numRuns: 500},
  );
});

test('each reason that excludes a worker is named', () => {
  // Guards against a check that was lost, or that is named as another one.
  for (const reason of OBSTACLES.keys()) {
    assert.equal(evaluate([reason]), reason);
  }
});

test('the reasons of a best-effort task are named', () => {
  // Guards against idle processors that look like a lack of them, when what is
  // missing is headroom of a latency-critical task.
  const bestEffort = new BestEffortController();
  const fields = {usesLeftoverCpu: true};
  assert.equal(typeof evaluate([], bestEffort, fields), 'number');
  const wide = {...fields, cpuMillicores: 8001};
  assert.equal(evaluate([], bestEffort, wide), WorkerExclusion.LEFTOVER_CPU);
  bestEffort.headroomFor = () => ({headroom: 0, pressure: 0});
  assert.equal(evaluate([], bestEffort, fields), WorkerExclusion.INTERFERENCE);
});
