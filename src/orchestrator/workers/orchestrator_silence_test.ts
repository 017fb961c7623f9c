import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {silentLog} from '../../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {WorkerState} from './worker_state.js';

const POLL_INTERVAL_MS = 500;

/** One worker that runs one task, whose progress the test reports. */
class SilenceBench {
  readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  /** Names of the tasks that were stopped. */
  readonly stopped: string[] = [];
  private readonly orchestrator: Orchestrator;
  private readonly worker: WorkerState;

  constructor() {
    this.orchestrator = new Orchestrator({
      clock: this.clock,
      log: silentLog(),
      keys: new PartitionKeys('main'),
      longestLeaseMs: 6000,
      keepFinishedMs: 1000,
      previousTermLeaseMs: 0,
      effects: idleEffects({stop: ({name}) => this.stopped.push(name)}),
    });
    this.orchestrator.configure(simpleConfiguration());
    this.orchestrator.upsertWorker(simpleWorker('w'));
    this.worker = this.orchestrator.workers.get('w')!;
    this.report();
    const steps = [simpleStep({estimatedMs: 2000})];
    this.orchestrator.addJob(new JobState(simpleJob('job', {steps}), 0));
    this.orchestrator.schedule();
    applyPending(this.orchestrator.takePending());
  }

  /** Reports the progress of the task, or no task without `percent`. */
  report(percent?: number): void {
    const running = [...this.worker.tasks].map(({name, run}) => ({
      task: name,
      run,
      checkpoint: '',
      percent: percent ?? 0,
      gauge: undefined,
    }));
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running, ended: []};
    this.orchestrator.processReport(this.worker, report, nowMs);
  }

  /** Records that a poll of the worker was not answered. */
  missPoll(): void {
    this.orchestrator.handleSilence(this.worker);
  }

  /** Adds a job with one task and returns whether it is placed. */
  placesJob(id: string): boolean {
    const job = new JobState(simpleJob(id), 0);
    this.orchestrator.addJob(job);
    this.orchestrator.schedule();
    return [...job.tasks()].every(({isPlaced}) => isPlaced);
  }

  /** Reports the same progress at the usual interval for a duration in ms. */
  reportFor(durationMs: number, percent: number): void {
    for (let passed = 0; passed < durationMs; passed += POLL_INTERVAL_MS) {
      this.clock.advance(POLL_INTERVAL_MS);
      this.report(percent);
    }
  }
}

test('a task on a worker that was silent is not stopped for lack of progress', () => {
  // A worker is suspended for some seconds and reports again. Guards against
  // running work that is given up because the time of silence counts as time
  // without progress.
  const bench = new SilenceBench();
  bench.reportFor(500, 20);
  bench.clock.advance(4000);
  bench.report(20);
  assert.deepEqual(bench.stopped, []);
  bench.reportFor(1000, 20);
  bench.reportFor(1000, 40);
  assert.deepEqual(bench.stopped, []);
});

test('a task that makes no progress while its worker reports is stopped', () => {
  // Guards against a task that occupies a faulty worker until its lease ends.
  const bench = new SilenceBench();
  bench.reportFor(500, 20);
  bench.clock.advance(4000);
  bench.reportFor(3000, 20);
  assert.equal(bench.stopped.length, 1);
});

test('nothing is placed on a worker that did not answer the latest poll', () => {
  // Guards against tasks that wait for the lease of a crashed worker, because
  // they were placed on it after its connections had been closed.
  const bench = new SilenceBench();
  bench.reportFor(500, 20);
  bench.missPoll();
  assert.equal(bench.placesJob('early'), false);
  bench.report(20);
  assert.equal(bench.placesJob('late'), true);
});
