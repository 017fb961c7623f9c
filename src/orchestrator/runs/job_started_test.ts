import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {JobPhase} from '../../work/job_definition.js';
import {
  decodeStoredProgress,
  groupProgress,
} from '../../work/stored_progress.js';
import {restoreProgress} from '../jobs/job_progress.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {TaskState} from './task_state.js';
import {CommandOutcome, RefusalReason} from '../workers/worker_port.js';

const DEFINITION = simpleJob('job');
const KEYS = new PartitionKeys('main');

/** An owner with one worker that stores the progress of one job. */
class OneJobBench {
  private readonly sent: TaskState[] = [];
  private readonly stored = new Map<string, Buffer>();
  private readonly phases: JobPhase[] = [];
  private readonly orchestrator = createOrchestrator({
    keys: KEYS,
    effects: idleEffects({
      start: (task) => this.sent.push(task),
      publishPhases: (rows) => this.phases.push(...rows.map(([, row]) => row)),
    }),
  });

  constructor() {
    this.orchestrator.upsertWorker(simpleWorker('w'));
    const worker = this.orchestrator.workers.get('w')!;
    const report = {clockMs: 0, bornMs: 1, running: [], ended: []};
    this.orchestrator.processReport(worker, report, 0);
    this.orchestrator.addJob(new JobState(DEFINITION, 0));
    this.orchestrator.schedule();
    this.commit();
  }

  /** Answers the start of the task and stores what follows from it. */
  answerStart(outcome: CommandOutcome): void {
    const task = this.sent.at(-1)!;
    this.orchestrator.handleStartOutcome(task, task.run, outcome);
    this.commit();
  }

  /** Latest phase that callers are told. */
  get phase(): JobPhase {
    return this.phases.at(-1) ?? JobPhase.QUEUED;
  }

  /** Returns an owner that takes over with the stored progress. */
  createSuccessor(): Orchestrator {
    const job = new JobState(DEFINITION, 0);
    const items = [...this.stored].map(([key, value]) => ({key, value}));
    const progress = groupProgress(items, KEYS).get(DEFINITION.id)!;
    restoreProgress(job, decodeStoredProgress(progress)!);
    const successor = createOrchestrator();
    successor.addJob(job);
    return successor;
  }

  private commit(): void {
    const pending = this.orchestrator.takePending();
    for (const {changes} of pending.batches) {
      for (const {key, value} of changes) this.stored.set(key, value!);
    }
    applyPending(pending);
  }
}

const NOT_BEGUN: Record<string, CommandOutcome> = {
  'is in doubt': {kind: 'unknown', reason: 'other side closed'},
  'was refused': {kind: 'refused', reason: RefusalReason.NO_ROOM},
};

for (const [what, outcome] of Object.entries(NOT_BEGUN)) {
  test(`a job whose start ${what} is not shown as running`, () => {
    // Guards against callers who are told that work runs which has not begun.
    const bench = new OneJobBench();
    bench.answerStart(outcome);
    assert.equal(bench.phase, JobPhase.QUEUED);
  });

  test(`a successor counts a job whose start ${what} as pending`, () => {
    // Guards against a count of waiting jobs that is too low after a takeover.
    const bench = new OneJobBench();
    bench.answerStart(outcome);
    assert.equal(bench.createSuccessor().countPending('queue'), 1);
  });
}

test('a job is shown as running once its first run is seen', () => {
  // Guards against a job that stays queued for its callers, also across a
  // takeover, while it runs.
  const bench = new OneJobBench();
  bench.answerStart({kind: 'done'});
  assert.equal(bench.phase, JobPhase.RUNNING);
  assert.equal(bench.createSuccessor().countPending('queue'), 0);
});
