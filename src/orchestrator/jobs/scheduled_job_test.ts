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
import {CrashRole} from '../../work/crash_role.js';
import {JobDefinition, JobPhase} from '../../work/job_definition.js';
import {decodeProgress, encodeProgress} from '../../work/job_records.js';
import {progressOf, restoreProgress} from './job_progress.js';
import {JobState, MAX_OPEN_SCHEDULED_TASKS} from './job_state.js';
import {TaskState} from '../runs/task_state.js';

const MINUTE_MS = 60_000;
const MINUTES_OF_YEAR = 525_600;

function overdueSchedule(): JobDefinition {
  return simpleJob('schedule', {
    repetitions: MINUTES_OF_YEAR,
    firstRunMs: 0,
    intervalMs: MINUTE_MS,
  });
}

const YEAR_END_MS = MINUTES_OF_YEAR * MINUTE_MS;

function finish(task: TaskState): void {
  for (const event of ['assigned', 'committed', 'confirmed', 'done'] as const) {
    task.apply(event);
  }
  task.job.recordTaskDone(task);
}

test('a schedule that is long overdue has a bounded number of tasks', () => {
  // Guards against a job with half a million occurrences that are due at once,
  // which ended the process of each owner at its heap limit.
  const job = new JobState(overdueSchedule(), 0);
  job.createDueOccurrences(YEAR_END_MS);
  assert.equal([...job.tasks()].length, MAX_OPEN_SCHEDULED_TASKS);
});

test('an overdue schedule goes on as its occurrences end', () => {
  // Guards against occurrences that are skipped or run twice, and against
  // memory and records that grow with what is done, also after a takeover.
  const definition = overdueSchedule();
  let job = new JobState(definition, 0);
  const seen = new Set<string>();
  for (let round = 0; round < 20; round++) {
    for (const {steps} of job.createDueOccurrences(YEAR_END_MS)) {
      const {name} = steps[0]!.tasks[0]!;
      assert.ok(!seen.has(name), name);
      seen.add(name);
    }
    for (const task of [...job.tasks()].slice(0, 100)) finish(task);
    job.releaseDoneOccurrences();
    assert.ok(job.occurrences.size <= MAX_OPEN_SCHEDULED_TASKS);
    const stored = encodeProgress(progressOf(job));
    assert.ok(stored.length < 10_000, `${stored.length} bytes`);
    const restored = new JobState(definition, 0);
    restoreProgress(restored, decodeProgress(stored));
    // A successor creates the occurrences anew that have no run to restore.
    for (const task of restored.tasks()) seen.add(task.name);
    job = restored;
  }
  assert.equal(job.doneBefore, 2000);
  assert.equal(seen.size, 2400);
});

test('one occurrence that does not end bounds those after it', () => {
  // Guards against a progress record that grows by an entry with each occurrence
  // that is done after one that is not.
  const job = new JobState(overdueSchedule(), 0);
  job.createDueOccurrences(YEAR_END_MS);
  const [first] = job.tasks();
  for (let round = 0; round < 30; round++) {
    for (const task of [...job.tasks()]) if (task !== first) finish(task);
    job.releaseDoneOccurrences();
    job.createDueOccurrences(YEAR_END_MS);
  }
  assert.ok(job.occurrences.size <= 10_000, `${job.occurrences.size}`);
  finish(first!);
  job.releaseDoneOccurrences();
  assert.equal(job.occurrences.size, 0);
  assert.ok(job.createDueOccurrences(YEAR_END_MS).length > 0);
});

test('a task is registered once however many occurrences become due', () => {
  // Guards against tasks whose waiting time begins anew with each occurrence, so
  // that no room is held for them and their starvation is not seen.
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const orchestrator = createOrchestrator({clock});
  const repeated = {repetitions: 10, firstRunMs: 0, intervalMs: 1000};
  const job = new JobState(simpleJob('job', repeated), 0);
  orchestrator.addJob(job);
  const [task] = job.tasks();
  for (let second = 0; second < 5; second++) {
    clock.advance(1000);
    orchestrator.tick();
  }
  assert.equal(job.occurrences.size, 6);
  assert.equal(task!.waitingSinceMs, 0);
});

test('an occurrence that is done is not created again', () => {
  // Guards against a late command or report that brings back the tasks of an
  // occurrence whose state was released.
  const job = new JobState(overdueSchedule(), 0);
  job.createDueOccurrences(MINUTE_MS);
  finish([...job.tasks()][0]!);
  job.releaseDoneOccurrences();
  assert.throws(() => job.occurrence(0), /it is done/);
});

test('a scheduled job succeeds after its last occurrence', () => {
  // Guards against a job that never ends because released occurrences are not
  // counted.
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const orchestrator = createOrchestrator({clock, keepFinishedMs: 60_000});
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const repeated = {repetitions: 3, firstRunMs: 0, intervalMs: 1000};
  const job = new JobState(simpleJob('job', repeated), 0);
  orchestrator.addJob(job);
  for (let number = 0; number < 3; number++) {
    const task = `job.${number}.0.0`;
    const end = {sequence: number + 1, task, run: 1, kind: 'done' as const};
    const report = {clockMs: clock.nowMs(), bornMs: 1, running: []};
    orchestrator.processReport(worker, {...report, ended: []}, clock.nowMs());
    orchestrator.schedule();
    applyPending(orchestrator.takePending());
    const ended = [{...end, checkpoint: ''}];
    orchestrator.processReport(worker, {...report, ended}, clock.nowMs());
    clock.advance(1000);
    orchestrator.tick();
  }
  assert.equal(job.phase, JobPhase.SUCCEEDED);
});

test('a loss counts once however many occurrences become due', () => {
  // Guards against a scheduled job that is shown as failed because one lost
  // worker was counted again with each occurrence.
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const orchestrator = createOrchestrator({clock});
  const steps = [simpleStep({taskCount: 2})];
  const repeated = {steps, repetitions: 10, firstRunMs: 0, intervalMs: 3000};
  const job = new JobState(simpleJob('job', repeated), 0);
  const [task] = job.occurrence(0).steps[0]!.tasks;
  task!.storedLosses.push({
    workerId: 'lost',
    bornMs: 1,
    address: 'a:1',
    part: {role: CrashRole.SUSPECT, isImmediate: true, hasBegun: true},
  });
  orchestrator.addJob(job);
  for (let second = 0; second < 20; second++) {
    clock.advance(1000);
    orchestrator.tick();
  }
  assert.equal(task!.losses.length, 1);
  orchestrator.upsertWorker(simpleWorker('next', {address: 'a:1', bornMs: 2}));
  const worker = orchestrator.workers.get('next')!;
  const report = {clockMs: 0, bornMs: 2, running: [], ended: []};
  orchestrator.processReport(worker, report, clock.nowMs());
  assert.equal(task!.crashes.toRecord().suspected, 1);
});

test('a job whose progress outgrows a stored value ends alone', () => {
  // Guards against one large job whose record the store refuses, so that no
  // other job is started or ended any more.
  const started: string[] = [];
  const orchestrator = createOrchestrator({
    effects: idleEffects({start: ({name}) => started.push(name)}),
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
  orchestrator.processReport(worker, report, 0);
  const steps = [simpleStep({taskCount: 28_000, isCheckpointed: true})];
  const large = new JobState(simpleJob('large', {steps}), 0);
  orchestrator.addJob(large);
  for (const task of large.tasks()) {
    task.run = 1;
    task.checkpoint = '0123456789abcdef0123456789abcdef';
  }
  orchestrator.addJob(new JobState(simpleJob('small'), 0));
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.equal(large.phase, JobPhase.FAILED);
  assert.ok(started.every((name) => !name.startsWith('large')));
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  assert.deepEqual(started, ['small.0.0.0']);
});

test('the retention time of a job begins once its end is stored', () => {
  // Guards against a job that callers are told is unknown right after an outage
  // of the store in which it ended.
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const orchestrator = createOrchestrator({clock, keepFinishedMs: 1000});
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  orchestrator.cancel('job');
  const pending = orchestrator.takePending();
  clock.advance(5000);
  orchestrator.tick();
  applyPending(pending);
  clock.advance(900);
  orchestrator.tick();
  assert.ok(orchestrator.jobs.has('job'));
  clock.advance(200);
  orchestrator.tick();
  assert.ok(!orchestrator.jobs.has('job'));
});
