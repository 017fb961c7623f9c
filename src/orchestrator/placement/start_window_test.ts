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
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {StepHold} from './step_hold.js';
import {TaskState} from '../runs/task_state.js';

const WORKERS = 200;

interface Fixture {
  orchestrator: Orchestrator;
  /** Tasks of which the start was sent, in order. */
  sent: TaskState[];
}

/** Creates an idle fleet with room for 1,600 tasks, and two queues. */
function createFleet(): Fixture {
  const sent: TaskState[] = [];
  const effects = idleEffects({start: (task) => sent.push(task)});
  const orchestrator = createOrchestrator({effects});
  const configuration = simpleConfiguration();
  const [queue] = configuration.queues;
  const queues = [
    {...queue!, name: 'bulk', priority: 2},
    {...queue!, name: 'urgent', priority: 0},
  ];
  orchestrator.configure({...configuration, queues});
  for (let number = 0; number < WORKERS; number++) {
    orchestrator.upsertWorker(simpleWorker(`w${number}`));
  }
  for (const worker of orchestrator.workers.values()) {
    const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
    orchestrator.processReport(worker, report, 0);
  }
  return {orchestrator, sent};
}

/** Adds a job, runs a pass and acts as if its assignments were stored. */
function submit(
  {orchestrator}: Fixture,
  fields: {id: string; queue: string; tasks: number},
): void {
  const steps = [simpleStep({taskCount: fields.tasks})];
  const definition = simpleJob(fields.id, {queue: fields.queue, steps});
  orchestrator.addJob(new JobState(definition, 0));
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
}

test('a burst does not open more starts than the owner can serve soon', () => {
  // A burst of 1,000 tasks into an idle fleet. Guards against a queue of
  // commands in the owner that delays leases, ends and later starts.
  const fleet = createFleet();
  submit(fleet, {id: 'a', queue: 'bulk', tasks: 1000});
  assert.equal(fleet.sent.length, 300);
  fleet.orchestrator.schedule();
  applyPending(fleet.orchestrator.takePending());
  assert.equal(fleet.sent.length, 300);
});

test('an answered start makes place for the next one', () => {
  // Guards against tasks that wait beside idle workers.
  const fleet = createFleet();
  const {orchestrator, sent} = fleet;
  submit(fleet, {id: 'a', queue: 'bulk', tasks: 1000});
  for (const task of sent.slice(0, 40)) {
    orchestrator.handleStartOutcome(task, task.run, {kind: 'done'});
  }
  for (const task of sent.slice(40, 50)) {
    const reason = 'no response';
    orchestrator.handleStartOutcome(task, task.run, {kind: 'unknown', reason});
  }
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.equal(sent.length, 350);
});

test('an urgent job is started beside a burst of bulk jobs', () => {
  // Guards against urgent tasks that wait until a burst has been started.
  const fleet = createFleet();
  submit(fleet, {id: 'a', queue: 'bulk', tasks: 1000});
  submit(fleet, {id: 'b', queue: 'urgent', tasks: 100});
  assert.equal(fleet.sent.length, 400);
});

test('a job that waits for the limit of open starts says so', () => {
  // Guards against a wait that looks like a fault, since workers have room.
  const fixture = createFleet();
  submit(fixture, {id: 'many', queue: 'bulk', tasks: 1600});
  submit(fixture, {id: 'later', queue: 'bulk', tasks: 1});
  const explained = fixture.orchestrator.explain('later');
  assert.equal(explained?.steps[0]?.hold, StepHold.START_LIMIT);
});
