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
import {JobPhase} from '../../work/job_definition.js';
import {progressOf, restoreProgress} from '../jobs/job_progress.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {EndKind, EndReport} from '../workers/worker_port.js';

const MEMBERS = 4;
const MAX_ATTEMPTS = 3;
const JOB = simpleJob('gang', {
  steps: [simpleStep({taskCount: MEMBERS, isGang: true})],
});

/** Whether a member fails in a run; the others are broken by it. */
type FailsInRun = (index: number, run: number) => boolean;

/** An owner with one worker, on which a gang fails. */
class GangBench {
  readonly job = new JobState(JOB, 0);
  startedRuns = new Set<number>();
  private readonly clock = new ManualClock();
  private readonly orchestrator: Orchestrator;
  private sequence = 0;

  constructor(private readonly fails: FailsInRun) {
    this.orchestrator = createOrchestrator({
      clock: this.clock,
      effects: idleEffects({start: ({run}) => this.startedRuns.add(run)}),
    });
    const {queues, ...rest} = simpleConfiguration();
    const limited = queues.map((queue) => ({
      ...queue,
      maxAttempts: MAX_ATTEMPTS,
    }));
    this.orchestrator.configure({...rest, queues: limited});
    this.orchestrator.upsertWorker(simpleWorker('w'));
    this.report([]);
  }

  addJob(): void {
    this.orchestrator.addJob(this.job);
  }

  /** Starts the gang and reports the ends of its run. */
  playRun(members = MEMBERS): void {
    this.clock.advance(3000);
    this.report([]);
    this.orchestrator.schedule();
    applyPending(this.orchestrator.takePending());
    this.reportEnds([...Array(members).keys()]);
  }

  /** Reports the ends of the given members in their latest run. */
  reportEnds(indices: readonly number[]): void {
    const tasks = [...this.job.tasks()];
    const ended = indices.map((index) => {
      const {name, run} = tasks[index]!;
      const kind = this.fails(index, run)
        ? EndKind.FAILED
        : EndKind.GANG_BROKEN;
      this.sequence += 1;
      return {sequence: this.sequence, task: name, run, kind, checkpoint: ''};
    });
    this.report(ended);
  }

  private report(ended: EndReport[]): void {
    const worker = this.orchestrator.workers.get('w')!;
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running: [], ended};
    this.orchestrator.processReport(worker, report, nowMs);
  }
}

test('a gang is given up after it has failed as often as its queue allows', () => {
  // Guards against a gang that runs again because another member fails each
  // time: with four members it failed nine times with three attempts.
  const bench = new GangBench((index, run) => index === run % MEMBERS);
  bench.addJob();
  for (let round = 0; round < 10; round += 1) bench.playRun();
  assert.deepEqual([...bench.startedRuns], [1, 2, 3]);
  assert.equal(bench.job.phase, JobPhase.FAILED);
});

test('a run of a gang in which all members fail counts once', () => {
  // Guards against a gang that is given up after a single failed run.
  const bench = new GangBench(() => true);
  bench.addJob();
  for (let round = 0; round < MAX_ATTEMPTS; round += 1) {
    assert.notEqual(bench.job.phase, JobPhase.FAILED);
    bench.playRun();
  }
  assert.equal(bench.job.phase, JobPhase.FAILED);
});

test('a successor counts a failed run of a gang once', () => {
  // Guards against a run that counts twice since a member reports its failure
  // only to the successor of the owner.
  const first = new GangBench(() => true);
  first.addJob();
  first.playRun();
  first.playRun(MEMBERS - 1);
  const second = new GangBench(() => true);
  restoreProgress(second.job, progressOf(first.job));
  second.addJob();
  second.reportEnds([MEMBERS - 1]);
  assert.notEqual(second.job.phase, JobPhase.FAILED);
  second.playRun();
  assert.equal(second.job.phase, JobPhase.FAILED);
});
