import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {CrashRole} from '../../work/crash_role.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

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

/** Tasks of the worker that was lost, and workers that are left. */
const LOST_TASKS = 60;
const WORKERS_LEFT = 7;

/** Time in ms for which a task may wait beside free capacity. */
const MOST_IDLE_MS = 3000;

/** Tasks that last and were on a worker which was lost, and the other workers. */
class LostWorkerBench {
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly orchestrator = createOrchestrator({clock: this.clock});
  readonly tasks: TaskState[] = [];

  /** @param crashes - Crashes under each task of which it may be the cause. */
  constructor(crashes: number) {
    for (let number = 0; number < WORKERS_LEFT; number++) {
      this.orchestrator.upsertWorker(simpleWorker(`w${number}`));
    }
    for (let number = 0; number < LOST_TASKS; number++) {
      this.addTask(`job${number}`, crashes);
    }
  }

  run(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const worker of this.orchestrator.workers.values()) {
        this.report(worker);
      }
      this.orchestrator.schedule();
      applyPending(this.orchestrator.takePending());
    }
  }

  /** Whether two tasks have come to one worker without a proof in between. */
  get areSuspectsTogether(): boolean {
    const unproven = this.tasks.filter(
      ({isPlaced, isProven}) => isPlaced && !isProven,
    );
    const workers = unproven.map(({assignment}) => assignment!.workerId);
    return new Set(workers).size < workers.length;
  }

  private addTask(id: string, crashes: number): void {
    const steps = [
      simpleStep({isLongRunning: true, cpuMillicores: 100, memoryMb: 100}),
    ];
    const job = new JobState(simpleJob(id, {steps}), 0);
    const [task] = job.occurrence(0).steps[0]!.tasks;
    for (let crash = 0; crash < crashes; crash++) {
      const role = CrashRole.SUSPECT;
      task!.crashes.add({role, isImmediate: false, hasBegun: true});
    }
    this.tasks.push(task!);
    this.orchestrator.addJob(job);
  }

  private report(worker: WorkerState): void {
    const running = [...worker.tasks].map(({name, run}) => ({
      task: name,
      run,
      checkpoint: '',
      percent: 100,
      gauge: undefined,
    }));
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running, ended: []};
    this.orchestrator.processReport(worker, report, nowMs);
  }
}

test('the tasks of a lost worker do not wait for each other', () => {
  // Guards against tasks that last and wait for many seconds beside workers with
  // room, since each is started alone after the loss of one worker.
  const bench = new LostWorkerBench(1);
  bench.run(MOST_IDLE_MS);
  const waiting = bench.tasks.filter(({isPlaced}) => !isPlaced);
  assert.equal(waiting.length, 0);
});

test('suspects of a second crash start apart', () => {
  // Guards against tasks that are suspected together again and again, so that the
  // one which crashes its workers is never told from the others.
  const bench = new LostWorkerBench(2);
  for (let round = 0; round < 40; round++) {
    bench.run(100);
    assert.equal(bench.areSuspectsTogether, false);
  }
});
