import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {queueTerms, QueueTerms} from '../../work/configuration.js';
import {JobPhase} from '../../work/job_definition.js';
import {
  decodeSubmission,
  encodeSubmission,
  SubmissionRecord,
} from '../../work/job_records.js';
import {AdviceRequest} from '../workers/advice_port.js';
import {JobState} from './job_state.js';
import {TaskState} from '../runs/task_state.js';
import {EndKind} from '../workers/worker_port.js';
import {WorkerState} from '../workers/worker_state.js';

const [QUEUE] = simpleConfiguration().queues;

/** Terms of the queue of most tests. */
const TERMS = queueTerms({...QUEUE!, maxAttempts: 3});

/** Queue that stays; the one of the jobs is removed. */
const OTHER_QUEUE = {...QUEUE!, name: 'other', prefix: '/other/', priority: 2};

/** Number of rounds in which a task may start; above all limits. */
const ROUNDS = 8;

/** An owner whose configuration does not have the queue of its jobs. */
class RemovedQueueBench {
  readonly starts: TaskState[] = [];
  readonly adviceRequests: AdviceRequest[] = [];
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly orchestrator = createOrchestrator({
    clock: this.clock,
    effects: idleEffects({
      start: (task) => this.starts.push(task),
      requestAdvice: (request) => this.adviceRequests.push(request),
    }),
  });
  private readonly worker: WorkerState;
  private sequence = 0;

  constructor() {
    this.orchestrator.configure({
      ...simpleConfiguration(),
      queues: [OTHER_QUEUE],
    });
    this.orchestrator.upsertWorker(simpleWorker('w'));
    this.worker = this.orchestrator.workers.get('w')!;
    this.report();
  }

  /** Adds a job as the store holds it. */
  addJob(terms: QueueTerms | undefined): JobState {
    const submission = {definition: simpleJob('job', {terms})};
    const job = new JobState(
      restore({...submission, acceptedWallMs: 0}).definition,
      0,
    );
    this.orchestrator.addJob(job);
    return job;
  }

  /** Runs the tasks of all jobs, each of which fails. */
  failAllRuns(): void {
    for (let round = 0; round < ROUNDS; round++) {
      this.clock.advance(1000);
      this.orchestrator.schedule();
      applyPending(this.orchestrator.takePending());
      this.report([...this.worker.tasks]);
    }
  }

  isUrgentTaskRunning(): boolean {
    this.orchestrator.schedule();
    return this.orchestrator.runsUrgentTask(this.worker);
  }

  private report(failed: readonly TaskState[] = []): void {
    const ended = failed.map(({name, run}) => {
      this.sequence += 1;
      const {sequence} = this;
      const kind = EndKind.FAILED;
      return {sequence, task: name, run, kind, checkpoint: ''};
    });
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running: [], ended};
    this.orchestrator.processReport(this.worker, report, nowMs);
  }
}

function restore(submission: SubmissionRecord): SubmissionRecord {
  return decodeSubmission(encodeSubmission(submission));
}

test('a removed queue leaves its jobs the limit of attempts', () => {
  // Guards against a task that fails and is started without end once an operator
  // has removed the route of its job, also by an owner that never knew the route.
  const bench = new RemovedQueueBench();
  const job = bench.addJob(TERMS);
  bench.failAllRuns();
  assert.equal(bench.starts.length, TERMS.maxAttempts);
  assert.equal(job.phase, JobPhase.FAILED);
});

test('a removed queue leaves its jobs the advice that they need', () => {
  // Guards against starts without a ticket, which workers refuse for as long as
  // the job lives.
  const bench = new RemovedQueueBench();
  bench.addJob({...TERMS, needsAdvice: true});
  bench.failAllRuns();
  assert.equal(bench.starts.length, 0);
  assert.equal(bench.adviceRequests.length, 1);
});

test('a removed queue leaves its jobs their priority', () => {
  // Guards against urgent jobs that wait behind all others, and whose workers
  // are polled like those of patient ones, once their route is removed.
  for (const priority of [0, 2, 3]) {
    const bench = new RemovedQueueBench();
    bench.addJob({...TERMS, priority});
    assert.equal(bench.isUrgentTaskRunning(), priority <= 2);
  }
});

test('a job whose limit of attempts is not known is not run again', () => {
  // Guards against a run beyond the limit: an earlier build accepted the job,
  // without its terms, and its route has been removed since.
  const bench = new RemovedQueueBench();
  bench.addJob(undefined);
  bench.failAllRuns();
  assert.equal(bench.starts.length, 1);
});
