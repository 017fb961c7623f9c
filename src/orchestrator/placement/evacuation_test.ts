import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {SeededRandom} from '../../random/seeded_random.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {OrchestratorEvent} from '../orchestrator_event.js';
import {StartGuard} from '../runs/start_guard.js';

const LEVIS = new Set(['levis']);
const NOWHERE = new Set<string>();
const SEEDS = 50;

interface Fixture {
  orchestrator: Orchestrator;
  /** Data centres of the workers to which starts were sent. */
  sent: string[];
  events: OrchestratorEvent[];
}

/** Creates an owner with one worker in each of two data centres. */
function createFixture(): Fixture {
  const sent: string[] = [];
  const events: OrchestratorEvent[] = [];
  const orchestrator = createOrchestrator({
    clock: new ManualClock(),
    effects: idleEffects({
      start: (_task, worker) => sent.push(worker.registration.dataCentre),
    }),
    countEvent: (event) => events.push(event),
  });
  for (const dataCentre of ['levis', 'limoilou']) {
    orchestrator.upsertWorker(simpleWorker(dataCentre, {dataCentre}));
    const worker = orchestrator.workers.get(dataCentre)!;
    const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
    orchestrator.processReport(worker, report, 0);
  }
  return {orchestrator, sent, events};
}

function addJob(
  orchestrator: Orchestrator,
  id: string,
  isGang = false,
): JobState {
  const steps = [simpleStep({taskCount: 6, isGang})];
  const job = new JobState(simpleJob(id, {steps}), 0);
  orchestrator.addJob(job);
  return job;
}

function commit(orchestrator: Orchestrator): void {
  applyPending(orchestrator.takePending());
}

test('nothing is placed in an evacuated data centre', () => {
  // Guards against starts where an operator has asked for none, and against
  // workers that join the data centre meanwhile.
  const {orchestrator, sent} = createFixture();
  orchestrator.setEvacuations(LEVIS);
  orchestrator.upsertWorker(simpleWorker('late', {dataCentre: 'levis'}));
  const worker = orchestrator.workers.get('late')!;
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(worker, report, 0);
  addJob(orchestrator, 'job');
  orchestrator.schedule();
  commit(orchestrator);
  assert.equal(sent.length, 6);
  assert.ok(!sent.includes('levis'));
});

test('tasks that found no place start once the request is taken back', () => {
  // Guards against steps that stay remembered as without a place.
  const {orchestrator, sent} = createFixture();
  orchestrator.setEvacuations(new Set(['levis', 'limoilou']));
  addJob(orchestrator, 'job');
  for (let pass = 0; pass < 3; pass++) orchestrator.schedule();
  assert.equal(orchestrator.hasPending, false);
  orchestrator.setEvacuations(NOWHERE);
  orchestrator.schedule();
  commit(orchestrator);
  assert.equal(sent.length, 6);
});

for (const isGang of [false, true]) {
  const kind = isGang ? 'members of a gang' : 'tasks';
  test(`${kind} that wait for their commit are not sent`, () => {
    // Guards against a start that was decided before the request and leaves
    // seconds after it, since the store was slow.
    const {orchestrator, sent, events} = createFixture();
    const job = addJob(orchestrator, 'job', isGang);
    orchestrator.schedule();
    orchestrator.setEvacuations(LEVIS);
    commit(orchestrator);
    assert.ok(!sent.includes('levis'));
    assert.ok(events.includes(OrchestratorEvent.START_HELD_BACK));
    const states = [...job.tasks()].map(({state}) => state);
    assert.ok(!states.includes('assigned'));
  });
}

test('runs in an evacuated data centre go on', () => {
  // Guards against users of long-running tasks that are interrupted although
  // no machine leaves.
  const stopped: string[] = [];
  const orchestrator = createOrchestrator({
    effects: idleEffects({stop: ({name}) => stopped.push(name)}),
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const idle = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(worker, idle, 0);
  const steps = [simpleStep({isLongRunning: true})];
  const job = new JobState(simpleJob('job', {steps}), 0);
  orchestrator.addJob(job);
  orchestrator.schedule();
  commit(orchestrator);
  const [task] = [...job.tasks()];
  const run = {task: task!.name, run: 1, checkpoint: '', percent: 100};
  const busy = {...idle, running: [{...run, gauge: undefined}]};
  orchestrator.processReport(worker, busy, 0);
  orchestrator.setEvacuations(LEVIS);
  orchestrator.processReport(worker, busy, 0);
  orchestrator.tick();
  assert.equal(task!.state, 'running');
  assert.deepEqual(stopped, []);
});

test('no start reaches an evacuated data centre in any order of events', () => {
  // Guards against an interleaving of requests, decisions, commits and takeovers
  // in which a start is sent after the owner has learned of the request.
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = new SeededRandom(seed);
    let evacuated: ReadonlySet<string> = NOWHERE;
    let fixture = createFixture();
    for (let step = 0; step < 200; step++) {
      const {orchestrator, sent} = fixture;
      const choice = random.nextInteger(12);
      if (choice < 2) {
        evacuated = choice === 0 ? LEVIS : NOWHERE;
        orchestrator.setEvacuations(evacuated);
      } else if (choice < 5) {
        addJob(orchestrator, `job${step}`, choice === 2);
      } else if (choice < 8) {
        orchestrator.schedule();
      } else if (choice < 11) {
        commit(orchestrator);
      } else {
        fixture = createFixture();
        fixture.orchestrator.setEvacuations(evacuated);
      }
      const isHeld = evacuated.has('levis') && sent.includes('levis');
      assert.ok(!isHeld, `seed ${seed}, step ${step}`);
      sent.length = 0;
    }
  }
});

test('an owner that may have missed a request starts nothing', () => {
  // Guards against an owner whose watch is silent while its registrations are
  // current; without a notice period, the age does not matter.
  const isInformed = (evacuationNoticeMs?: number): boolean => {
    const evacuationAgeMs = (): number => 4800;
    return new StartGuard({evacuationAgeMs, evacuationNoticeMs}).isInformed;
  };
  assert.equal(isInformed(5000), false);
  assert.equal(isInformed(6000), true);
  assert.equal(isInformed(), true);
});
