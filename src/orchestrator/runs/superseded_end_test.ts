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
import {JobPhase} from '../../work/job_definition.js';
import {JobState} from '../jobs/job_state.js';
import {EndReport, RunningReport} from '../workers/worker_port.js';
import {WorkerState} from '../workers/worker_state.js';

/** Time in ms after which all leases of a silent worker have ended. */
const AFTER_LEASE_MS = 20_000;

/** An owner with workers that report when the test says so. */
class TwoWorkerBench {
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  /** Tasks whose start was sent. */
  readonly started: string[] = [];
  readonly orchestrator = createOrchestrator({
    clock: this.clock,
    effects: idleEffects({start: ({name}) => this.started.push(name)}),
  });

  addWorker(id: string): WorkerState {
    this.orchestrator.upsertWorker(simpleWorker(id, {address: `${id}:1`}));
    const worker = this.orchestrator.workers.get(id)!;
    this.report(worker);
    return worker;
  }

  report(
    worker: WorkerState,
    content: {running?: RunningReport[]; ended?: EndReport[]} = {},
  ): void {
    const clockMs = this.clock.nowMs();
    const {running = [], ended = []} = content;
    const report = {clockMs, bornMs: 1, running, ended};
    this.orchestrator.processReport(worker, report, clockMs);
  }

  commit(): void {
    applyPending(this.orchestrator.takePending());
  }

  /** Lets the leases of all workers end. */
  passLease(): void {
    this.clock.advance(AFTER_LEASE_MS);
    this.orchestrator.tick();
  }
}

for (const isGang of [false, true]) {
  const kind = isGang ? 'gang' : 'task';
  test(`a ${kind} that turns out to be done is not started again`, () => {
    // A worker that was cut off until its lease had ended reports the end of its
    // run while the next run is assigned and not sent yet. Guards against work
    // that is done and is run again.
    const bench = new TwoWorkerBench();
    const first = bench.addWorker('first');
    const steps = [simpleStep({taskCount: isGang ? 2 : 1, isGang})];
    const job = new JobState(simpleJob('job', {steps}), 0);
    bench.orchestrator.addJob(job);
    bench.orchestrator.schedule();
    bench.commit();
    const running = bench.started.map((task) => ({
      task,
      run: 1,
      checkpoint: '',
      percent: 90,
      gauge: undefined,
    }));
    bench.report(first, {running});
    bench.orchestrator.handleSilence(first);
    bench.passLease();
    bench.addWorker('second');
    bench.orchestrator.schedule();
    const [task] = [...job.tasks()];
    assert.equal(task!.state, 'assigned');
    bench.started.length = 0;
    const end = {sequence: 1, task: task!.name, run: 1, checkpoint: ''};
    bench.report(first, {ended: [{...end, kind: 'done'}]});
    bench.commit();
    assert.deepEqual(bench.started, []);
    assert.equal(job.phase, JobPhase.SUCCEEDED);
  });
}
