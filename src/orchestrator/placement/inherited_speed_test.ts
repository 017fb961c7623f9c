import assert from 'node:assert/strict';
import {test} from 'node:test';

import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {JobPhase} from '../../work/job_definition.js';
import {restoreProgress} from '../jobs/job_progress.js';
import {JobState} from '../jobs/job_state.js';
import {RunningReport} from '../workers/worker_port.js';

const REPORT_INTERVAL_MS = 500;

/** A worker with a best-effort task that an earlier owner has paused. */
class InheritedPause {
  /** Speed limits that were sent, in percent. */
  readonly speedLimits: number[] = [];
  /** Names of the tasks that were stopped. */
  readonly stopped: string[] = [];
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly orchestrator = createOrchestrator({
    clock: this.clock,
    effects: idleEffects({
      setSpeedLimit: ({speedLimitPercent}) =>
        this.speedLimits.push(speedLimitPercent),
      stop: ({name}) => this.stopped.push(name),
    }),
  });
  private percent = 40;

  constructor() {
    this.orchestrator.upsertWorker(simpleWorker('w'));
    const steps = [simpleStep({usesLeftoverCpu: true, image: 'fill'})];
    const job = new JobState(simpleJob('job', {steps}), 0);
    const task = {index: 0, run: 1, failures: 0, isDone: false, checkpoint: ''};
    const assigned = {...task, workerId: 'w', workerBornMs: 1};
    const occurrence = {number: 0, isDone: false, steps: [[assigned]]};
    const phase = JobPhase.RUNNING;
    restoreProgress(job, {phase, version: 1, occurrences: [occurrence]});
    this.orchestrator.addJob(job);
  }

  /** Advances the time; the task works while its limit is above zero. */
  advance(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += REPORT_INTERVAL_MS) {
      this.clock.advance(REPORT_INTERVAL_MS);
      const limit = this.speedLimits.at(-1) ?? 0;
      if (limit > 0) this.percent += 1;
      this.report(limit * 10);
      this.orchestrator.schedule();
    }
  }

  private report(gauge: number): void {
    const worker = this.orchestrator.workers.get('w')!;
    const nowMs = this.clock.nowMs();
    const {percent} = this;
    const run = {task: 'job.0.0.0', run: 1, checkpoint: '', percent, gauge};
    const running: RunningReport[] = [run];
    const report = {clockMs: nowMs, bornMs: 1, running, ended: []};
    this.orchestrator.processReport(worker, report, nowMs);
    worker.recordLease(worker.leaseLimit(nowMs, 6000));
  }
}

test('a task that an earlier owner has paused goes on', () => {
  // Guards against a paused best-effort task that its next owner takes for stuck:
  // it is stopped, and its worker blocked for all tasks.
  const bench = new InheritedPause();
  bench.advance(6000);
  assert.deepEqual(bench.stopped, []);
  assert.equal(bench.speedLimits.at(-1), 100);
});
