import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../testing/apply_pending.js';
import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {simpleJob, simpleWorker} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {CrashRole} from '../work/crash_role.js';
import {JobState} from './job_state.js';
import {TaskState} from './task_state.js';

const STEP_MS = 50;

/** Interval in ms between two submissions. */
const SUBMIT_INTERVAL_MS = 200;

/** Time in ms that each task runs. */
const RUN_MS = 200;

/** Time in ms before a start in which no other may come on the same worker. */
const DISTANCE_MS = 350;

/** One worker on which a task starts every 200 ms, beside some suspects. */
class BusyWorkerBench {
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly orchestrator = createOrchestrator({clock: this.clock});
  private readonly worker;
  private jobNumber = 0;
  /** Times in ms at which tasks were assigned. */
  readonly assignedMs = new Map<TaskState, number>();
  /** Longest time in ms that a task which is not suspect has waited. */
  longestWaitMs = 0;

  constructor() {
    this.orchestrator.upsertWorker(simpleWorker('w'));
    this.worker = this.orchestrator.workers.get('w')!;
  }

  submit(isSuspect = false): TaskState {
    const job = new JobState(simpleJob(`job${this.jobNumber++}`), 0);
    const [task] = job.occurrence(0).steps[0]!.tasks;
    if (isSuspect) {
      task!.crashes.add({
        role: CrashRole.SUSPECT,
        isImmediate: true,
        hasBegun: true,
      });
    }
    this.orchestrator.addJob(job);
    return task!;
  }

  run(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.report();
      if (passed % SUBMIT_INTERVAL_MS === 0) this.submit();
      this.orchestrator.schedule();
      for (const task of this.worker.tasks) this.recordAssignment(task);
      applyPending(this.orchestrator.takePending());
    }
  }

  private recordAssignment(task: TaskState): void {
    if (this.assignedMs.has(task)) return;
    this.assignedMs.set(task, this.clock.nowMs());
    if (task.isSuspect) return;
    const waitedMs = this.clock.nowMs() - task.waitingSinceMs;
    this.longestWaitMs = Math.max(this.longestWaitMs, waitedMs);
  }

  /** Reports all runs; those that have run long enough are done. */
  private report(): void {
    const nowMs = this.clock.nowMs();
    const rows = [...this.worker.tasks].map((task) => ({
      task: task.name,
      run: task.run,
      checkpoint: '',
      percent: 0,
      gauge: undefined,
      isDone: nowMs - task.startedMs >= (task.isSuspect ? 1500 : RUN_MS),
    }));
    const first = this.worker.processedSequence + 1;
    this.orchestrator.processReport(
      this.worker,
      {
        clockMs: nowMs,
        bornMs: 1,
        running: rows.filter(({isDone}) => !isDone),
        ended: rows
          .filter(({isDone}) => isDone)
          .map((row, index) => ({
            ...row,
            sequence: first + index,
            kind: 'done' as const,
          })),
      },
      nowMs,
    );
  }
}

test('a suspect starts apart from others also at a high rate of starts', () => {
  // Guards against crashes that always have several possible causes, because
  // something starts on each worker all the time, and against a suspect that
  // waits without end for a worker where nothing does.
  const bench = new BusyWorkerBench();
  bench.run(1000);
  const suspect = bench.submit(true);
  bench.run(2000);
  const startMs = bench.assignedMs.get(suspect);
  assert.ok(startMs !== undefined && startMs <= 2000, `assigned at ${startMs}`);
  for (const [task, otherMs] of bench.assignedMs) {
    if (task === suspect) continue;
    const distanceMs = Math.abs(startMs - otherMs);
    assert.ok(distanceMs >= DISTANCE_MS, `${distanceMs} ms apart`);
  }
});

test('many suspects do not keep others from the only worker', () => {
  // Guards against tasks that could run and wait for seconds, because each
  // suspect closes one of the few workers that are left.
  const bench = new BusyWorkerBench();
  bench.run(1000);
  const suspects = Array.from({length: 6}, () => bench.submit(true));
  bench.run(20_000);
  for (const suspect of suspects) assert.ok(bench.assignedMs.has(suspect));
  assert.ok(bench.longestWaitMs < 3000, `waited ${bench.longestWaitMs} ms`);
});
