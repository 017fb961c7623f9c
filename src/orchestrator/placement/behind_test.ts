import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {StepDefinition} from '../../work/job_definition.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {TaskState} from '../runs/task_state.js';

interface Fixture {
  orchestrator: Orchestrator;
  clock: ManualClock;
  /** Tasks that were stopped. */
  stopped: TaskState[];
  state: {isBehind: boolean};
}

/** Creates an owner with one worker, and a bulk and an urgent queue. */
function createFixture(): Fixture {
  const clock = new ManualClock({startMs: 10_000});
  const stopped: TaskState[] = [];
  const state = {isBehind: false};
  const orchestrator = createOrchestrator({
    clock,
    effects: idleEffects({stop: (task) => stopped.push(task)}),
    isBehind: () => state.isBehind,
  });
  const configuration = simpleConfiguration();
  const [queue] = configuration.queues;
  const queues = [
    {...queue!, name: 'bulk', priority: 2},
    {...queue!, name: 'urgent', priority: 0},
  ];
  orchestrator.configure({...configuration, queues});
  addWorker(orchestrator, 'w0');
  return {orchestrator, clock, stopped, state};
}

function addWorker(orchestrator: Orchestrator, id: string): void {
  orchestrator.upsertWorker(simpleWorker(id));
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(orchestrator.workers.get(id)!, report, 0);
}

/** Submits a job of one task and acts as if its worker had started it. */
function run(
  {orchestrator}: Fixture,
  job: {id: string; queue: string; step?: Partial<StepDefinition>},
): TaskState {
  const steps = [simpleStep(job.step)];
  const definition = simpleJob(job.id, {queue: job.queue, steps});
  const state = new JobState(definition, 0);
  orchestrator.addJob(state);
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  const [task] = [...state.tasks()];
  orchestrator.handleStartOutcome(task!, task!.run, {kind: 'done'});
  return task!;
}

test('a throttled task is not moved while the owner is behind', () => {
  // Guards against stops and starts of work that goes on anyway, in an owner
  // that has no time for the starts of work that waits.
  const fixture = createFixture();
  const {orchestrator, clock, stopped, state} = fixture;
  const step = {usesLeftoverCpu: true, cpuMillicores: 4000};
  const task = run(fixture, {id: 'a', queue: 'bulk', step});
  assert.equal(task.state, 'running');
  addWorker(orchestrator, 'w1');
  task.speedLimitPercent = 50;
  state.isBehind = true;
  clock.advance(3000);
  addWorker(orchestrator, 'w1');
  orchestrator.schedule();
  assert.deepEqual(stopped, []);
  state.isBehind = false;
  orchestrator.schedule();
  assert.deepEqual(stopped, [task]);
});

test('a worker with a finite task of an urgent queue is known', () => {
  // Guards against a pause before the poll that brings the end of an urgent
  // task, and against one that is never made because long-running tasks count.
  const fixture = createFixture();
  const {orchestrator} = fixture;
  const worker = orchestrator.workers.get('w0')!;
  run(fixture, {id: 'a', queue: 'bulk'});
  run(fixture, {id: 'b', queue: 'urgent', step: {isLongRunning: true}});
  assert.equal(orchestrator.runsUrgentTask(worker), false);
  run(fixture, {id: 'c', queue: 'urgent'});
  assert.equal(orchestrator.runsUrgentTask(worker), true);
});
