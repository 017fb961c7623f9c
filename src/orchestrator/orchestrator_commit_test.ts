import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../testing/apply_pending.js';
import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {idleEffects} from '../../testing/idle_effects.js';
import {silentLog} from '../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {MAX_CHANGES_PER_COMMIT} from '../leadership/commit_log.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {decodeStoredProgress, groupProgress} from '../work/stored_progress.js';
import {JobState} from './jobs/job_state.js';
import {Orchestrator} from './orchestrator.js';
import {EndKind, RefusalReason} from './workers/worker_port.js';
import {WorkerState} from './workers/worker_state.js';

const BATCH_JOBS = 100;
const KEYS = new PartitionKeys('main');

interface Fixture {
  orchestrator: Orchestrator;
  /** Jobs of the starts that were sent, in order. */
  started: string[];
}

/** Creates a fleet with capacity for all jobs, and two queues. */
function createFixture(): Fixture {
  const started: string[] = [];
  const orchestrator = new Orchestrator({
    clock: new ManualClock(),
    log: silentLog(),
    keys: KEYS,
    longestLeaseMs: 6000,
    keepFinishedMs: 1000,
    previousTermLeaseMs: 0,
    effects: idleEffects({
      start: ({job}) => started.push(job.definition.id),
    }),
  });
  const configuration = simpleConfiguration();
  const [queue] = configuration.queues;
  const queues = [
    {...queue!, name: 'batch', priority: 2},
    {...queue!, name: 'urgent', priority: 0},
  ];
  orchestrator.configure({...configuration, queues});
  for (let number = 0; number < BATCH_JOBS; number++) {
    orchestrator.upsertWorker(simpleWorker(`w${number}`));
  }
  for (const worker of orchestrator.workers.values()) {
    const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
    orchestrator.processReport(worker, report, 0);
  }
  return {orchestrator, started};
}

/** Processes the report of an end of a run that belongs to no task. */
function reportEnd(
  orchestrator: Orchestrator,
  worker: WorkerState,
  sequence: number,
): void {
  const end = {
    sequence,
    task: 'other.0.0.0',
    run: 1,
    kind: EndKind.DONE,
    checkpoint: '',
  };
  const report = {clockMs: 0, bornMs: 1, running: [], ended: [end]};
  orchestrator.processReport(worker, report, 0);
}

test('in a burst of batch jobs an urgent start waits for one transaction', () => {
  // A burst fills several transactions, which are committed one after another.
  // Guards against an urgent job that waits for all of them.
  const {orchestrator, started} = createFixture();
  for (let number = 0; number < BATCH_JOBS; number++) {
    const job = simpleJob(`batch${number}`, {queue: 'batch'});
    orchestrator.addJob(new JobState(job, 0));
  }
  orchestrator.schedule();
  const urgent = simpleJob('urgent', {queue: 'urgent'});
  orchestrator.addJob(new JobState(urgent, 0));
  orchestrator.schedule();
  const {batches} = orchestrator.takePending();
  assert.ok(batches.length > BATCH_JOBS / MAX_CHANGES_PER_COMMIT);
  assert.ok(
    batches.every(({changes}) => changes.length <= MAX_CHANGES_PER_COMMIT),
  );
  batches[0]!.onStored();
  assert.equal(started[0], 'urgent');
  assert.equal(started.length, MAX_CHANGES_PER_COMMIT);
});

test('ends are acknowledged only once all batches are stored', () => {
  // Guards against an end that a worker discards although the transaction with
  // its job is never committed.
  const {orchestrator} = createFixture();
  const worker = orchestrator.workers.get('w0')!;
  reportEnd(orchestrator, worker, 5);
  const pending = orchestrator.takePending();
  for (const {onStored} of pending.batches) onStored();
  assert.equal(worker.sequenceToAcknowledge, 0);
  pending.onStored();
  assert.equal(worker.sequenceToAcknowledge, 5);
});

test('all records of a job are deleted in one transaction', () => {
  // Guards against a job that runs again: an owner that finds a submission
  // without its progress takes it for a new job.
  const clock = new ManualClock();
  const keys = new PartitionKeys('main');
  const orchestrator = createOrchestrator({clock, keys, keepFinishedMs: 1000});
  for (let number = 0; number < BATCH_JOBS; number++) {
    orchestrator.addJob(new JobState(simpleJob(`job${number}`), 0));
    orchestrator.cancel(`job${number}`);
  }
  applyPending(orchestrator.takePending());
  clock.advance(2000);
  orchestrator.tick();
  const {batches} = orchestrator.takePending();
  assert.ok(batches.length > 1);
  for (const {changes} of batches) {
    const deleted = new Set(changes.map(({key}) => key));
    for (let number = 0; number < BATCH_JOBS; number++) {
      const id = `job${number}`;
      const isDeleted = deleted.has(keys.submission(id));
      assert.equal(deleted.has(keys.progress(id)), isDeleted);
      assert.equal(deleted.has(keys.progressChanges(id)), isDeleted);
    }
  }
});

test('an end that is reported during a commit waits for the next one', () => {
  // Guards against an end that a worker discards because an earlier end of the
  // same worker is stored.
  const {orchestrator} = createFixture();
  const worker = orchestrator.workers.get('w0')!;
  reportEnd(orchestrator, worker, 5);
  const first = orchestrator.takePending();
  reportEnd(orchestrator, worker, 6);
  first.onStored();
  assert.equal(worker.sequenceToAcknowledge, 5);
  orchestrator.takePending().onStored();
  assert.equal(worker.sequenceToAcknowledge, 6);
});

test('an end that changes nothing is acknowledged without other changes', () => {
  // Guards against a worker that repeats such an end, and is polled without a
  // pause, until something else is committed.
  const {orchestrator} = createFixture();
  const worker = orchestrator.workers.get('w0')!;
  reportEnd(orchestrator, worker, 5);
  assert.ok(orchestrator.hasPending);
  const pending = orchestrator.takePending();
  assert.deepEqual(pending.batches, []);
  pending.onStored();
  assert.equal(worker.sequenceToAcknowledge, 5);
  assert.ok(!orchestrator.hasPending);
});

test('that a run was seen is stored with the next change of its job', () => {
  // Guards against a successor that takes all running tasks of a crashed worker
  // for starts in doubt, because only the tasks that changed are written.
  const {orchestrator} = createFixture();
  const steps = [simpleStep({taskCount: 3})];
  const job = new JobState(simpleJob('job', {queue: 'batch', steps}), 0);
  orchestrator.addJob(job);
  orchestrator.schedule();
  const store = new Map<string, Buffer>();
  const commit = (): void => {
    const pending = orchestrator.takePending();
    for (const {changes} of pending.batches) {
      for (const {key, value} of changes) store.set(key, value!);
    }
    applyPending(pending);
  };
  commit();
  const [first, seen, failed] = [...job.tasks()];
  orchestrator.handleStartOutcome(first!, 1, {kind: 'done'});
  commit();
  orchestrator.handleStartOutcome(seen!, 1, {kind: 'done'});
  const reason = RefusalReason.UNHEALTHY;
  orchestrator.handleStartOutcome(failed!, 1, {kind: 'refused', reason});
  commit();
  const items = [...store].map(([key, value]) => ({key, value}));
  const stored = groupProgress(items, KEYS).get('job')!;
  assert.ok(stored.changes);
  const [rows] = decodeStoredProgress(stored)!.occurrences[0]!.steps;
  assert.equal(rows!.find(({index}) => index === 1)?.hasBegun, true);
});
