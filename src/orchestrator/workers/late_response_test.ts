import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {CrashRole} from '../../work/crash_role.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {RunningReport} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Time in ms for which the process of the owner is paused. */
const PAUSE_MS = 1700;

/** Clock of the worker in ms at time 0 of the owner. */
const WORKER_CLOCK_MS = 60_000;

/** Unix start times in ms of the first and the second incarnation. */
const FIRST_BORN_MS = 1;
const SECOND_BORN_MS = 2;

/** An owner with one worker, whose responses the test delivers. */
class LateBench {
  /** Starts that were sent. */
  readonly sent: TaskState[] = [];
  /** Stops that were sent. */
  readonly stopped: TaskState[] = [];
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly orchestrator = createOrchestrator({
    clock: this.clock,
    effects: idleEffects({
      start: (task) => this.sent.push(task),
      stop: (task) => this.stopped.push(task),
    }),
  });
  private readonly worker: WorkerState;

  constructor() {
    this.orchestrator.upsertWorker(simpleWorker('w', {bornMs: FIRST_BORN_MS}));
    this.worker = this.orchestrator.workers.get('w')!;
    this.report([], {clockMs: WORKER_CLOCK_MS, sentMs: 0});
  }

  get nowMs(): number {
    return this.clock.nowMs();
  }

  advance(durationMs: number): void {
    this.clock.advance(durationMs);
  }

  /** Adds a job with one task, whose start is sent if there is room. */
  submit(id: string): void {
    this.orchestrator.addJob(new JobState(simpleJob(id), 0));
    this.schedule();
  }

  /** Makes a task one that may crash its worker. */
  suspect(task: TaskState): void {
    const role = CrashRole.SUSPECT;
    task.crashes.add({role, isImmediate: false, hasBegun: true});
    this.worker.addSuspect(task);
  }

  /** Suspect that has not run long enough to be proven, if there is one. */
  get unprovenSuspect(): TaskState | undefined {
    return this.worker.unprovenSuspect();
  }

  schedule(): void {
    this.orchestrator.schedule();
    applyPending(this.orchestrator.takePending());
  }

  /** Delivers the confirmation of a start, as written at a clock of the worker. */
  confirm(task: TaskState, clockMs: number): void {
    const outcome = {kind: 'done', clockMs} as const;
    this.orchestrator.handleStartOutcome(task, task.run, outcome);
  }

  /** Delivers a report, as written at a clock of the worker. */
  report(
    tasks: readonly TaskState[],
    {
      clockMs,
      sentMs,
      bornMs = FIRST_BORN_MS,
    }: {clockMs: number; sentMs: number; bornMs?: number},
  ): void {
    const running = tasks.map(toRunning);
    const report = {clockMs, bornMs, running, ended: []};
    this.orchestrator.processReport(this.worker, report, sentMs);
  }
}

function toRunning({name, run}: TaskState): RunningReport {
  return {task: name, run, checkpoint: '', percent: 1, gauge: undefined};
}

test('a response that a paused owner reads late shows no restart', () => {
  // Guards against a second run of a task that runs on, and against a crash
  // counted under the tasks of a worker that has not crashed: the owner was
  // paused while the confirmation of a start and an older report waited.
  const bench = new LateBench();
  bench.submit('job');
  const [task] = bench.sent;
  assert.ok(task);
  bench.advance(PAUSE_MS);
  bench.confirm(task, WORKER_CLOCK_MS + 5);
  bench.report([], {clockMs: WORKER_CLOCK_MS + 1, sentMs: 0});
  bench.schedule();
  assert.equal(task.isPlaced, true);
  assert.equal(bench.sent.length, 1);
  assert.equal(task.crashes.isEmpty, true);
});

test('a report that is older than a start does not end its run', () => {
  // Guards against a second run of a task: its start was answered by the next
  // incarnation of the worker, and the first report of that incarnation, written
  // before the start, is read afterwards.
  const bench = new LateBench();
  bench.submit('job');
  const [task] = bench.sent;
  assert.ok(task);
  const pollMs = bench.nowMs;
  bench.advance(100);
  bench.confirm(task, 20);
  bench.report([], {clockMs: 10, sentMs: pollMs, bornMs: SECOND_BORN_MS});
  bench.schedule();
  assert.equal(task.isPlaced, true);
  assert.equal(bench.sent.length, 1);
  bench.advance(100);
  bench.report([], {
    clockMs: 200,
    sentMs: bench.nowMs,
    bornMs: SECOND_BORN_MS,
  });
  assert.equal(task.isPlaced, false);
});

test('a report that is read late does not prove a suspect harmless', () => {
  // Guards against a second suspect beside a task that has run for a moment only,
  // after which a crash of their worker has two possible causes.
  const bench = new LateBench();
  bench.submit('job');
  const [task] = bench.sent;
  assert.ok(task);
  bench.suspect(task);
  bench.confirm(task, WORKER_CLOCK_MS);
  bench.advance(PAUSE_MS);
  bench.report([task], {clockMs: WORKER_CLOCK_MS + 10, sentMs: 0});
  assert.equal(bench.unprovenSuspect, task);
  const sentMs = bench.nowMs;
  bench.advance(500);
  const clockMs = WORKER_CLOCK_MS + bench.nowMs;
  bench.report([task], {clockMs, sentMs});
  assert.equal(bench.unprovenSuspect, undefined);
});

test('reports that are read late show no lack of progress', () => {
  // Guards against a run that is stopped as stuck although the report was written
  // soon after its latest progress.
  const bench = new LateBench();
  bench.submit('job');
  const [task] = bench.sent;
  assert.ok(task);
  bench.confirm(task, WORKER_CLOCK_MS);
  for (const writtenMs of [0, 500]) {
    bench.advance(writtenMs - bench.nowMs);
    const clockMs = WORKER_CLOCK_MS + writtenMs;
    bench.report([task], {clockMs, sentMs: writtenMs});
  }
  const sentMs = bench.nowMs;
  bench.advance(1450);
  bench.report([task], {clockMs: WORKER_CLOCK_MS + 520, sentMs});
  assert.deepEqual(bench.stopped, []);
});
