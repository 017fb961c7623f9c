import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {
  CapturedLine,
  createCapturedLog,
} from '../../../testing/captured_log.js';
import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {StepDefinition} from '../../work/job_definition.js';
import {JobState} from './job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {TaskState} from '../runs/task_state.js';
import {
  CommandOutcome,
  EndKind,
  RefusalReason,
} from '../workers/worker_port.js';
import {WorkerState} from '../workers/worker_state.js';

const STEP_MS = 50;

/** An owner whose workers answer all polls, on a manual clock. */
class Fixture {
  readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  /** Outcome of all starts. */
  outcome: CommandOutcome = {kind: 'done'};
  readonly lines: readonly CapturedLine[];
  readonly orchestrator: Orchestrator;
  private readonly starts: TaskState[] = [];

  constructor(workers: number) {
    const {clock} = this;
    const {log, lines} = createCapturedLog(clock);
    this.lines = lines;
    const start = (task: TaskState): void => void this.starts.push(task);
    const effects = idleEffects({start});
    this.orchestrator = createOrchestrator({clock, log, effects});
    for (let number = 0; number < workers; number++) {
      this.orchestrator.upsertWorker(simpleWorker(`w${number}`));
    }
  }

  submit(id: string, steps: Array<Partial<StepDefinition>> = [{}]): void {
    const job = simpleJob(id, {steps: steps.map((step) => simpleStep(step))});
    this.orchestrator.addJob(new JobState(job, this.clock.wallMs()));
  }

  worker(id: string): WorkerState {
    return this.orchestrator.workers.get(id)!;
  }

  run(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const worker of this.orchestrator.workers.values()) {
        this.report(worker);
      }
      this.orchestrator.tick();
      this.orchestrator.schedule();
      applyPending(this.orchestrator.takePending());
      for (const task of this.starts.splice(0)) {
        this.orchestrator.handleStartOutcome(task, task.run, this.outcome);
      }
    }
  }

  /** Ends all runs on a worker as done. */
  finish(worker: WorkerState): void {
    const ended = [...worker.tasks].map(({name, run}, number) => ({
      sequence: worker.processedSequence + number + 1,
      task: name,
      run,
      kind: EndKind.DONE,
      checkpoint: '',
    }));
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running: [], ended};
    this.orchestrator.processReport(worker, report, nowMs);
  }

  /** Returns the lines about waiting jobs, or about one of them. */
  waits(job?: string): CapturedLine[] {
    return this.lines.filter(
      (line) =>
        line.msg === 'job-waiting' &&
        (job === undefined || line['job'] === job),
    );
  }

  private report(worker: WorkerState): void {
    const running = [...worker.tasks]
      .filter(({state}) => state === 'running')
      .map(({name, run}) => ({
        task: name,
        run,
        percent: this.clock.nowMs() / 1000,
        checkpoint: '',
        gauge: undefined,
      }));
    const nowMs = this.clock.nowMs();
    const report = {clockMs: nowMs, bornMs: 1, running, ended: []};
    this.orchestrator.processReport(worker, report, nowMs);
  }
}

test('a job of which nothing runs is logged with the reasons of all workers', () => {
  // Guards against a waiting job of which the log does not tell why it waits.
  const fixture = new Fixture(4);
  fixture.run(STEP_MS);
  fixture.submit('running', [{cpuMillicores: 8000}]);
  fixture.run(STEP_MS);
  for (const worker of fixture.orchestrator.workers.values()) {
    if (worker.tasks.size === 0) worker.health.block(0, 60_000);
  }
  const drained = simpleWorker('w3', {isDraining: true});
  fixture.orchestrator.upsertWorker(drained);
  fixture.submit('job', [{taskCount: 2}, {after: [0]}]);
  fixture.run(1900);
  assert.deepEqual(fixture.waits(), []);
  fixture.run(2000);
  const [line, ...others] = fixture.waits();
  assert.deepEqual(others, []);
  assert.equal(line?.['job'], 'job');
  assert.equal(line['step'], '0.0');
  assert.equal(line['task'], 'job.0.0.0');
  assert.ok((line['idleMs'] as number) >= 2000);
  assert.deepEqual(line['tasks'], {waiting: 2});
  assert.deepEqual(line['excluded'], {cpu: 1, blocked: 2, draining: 1});
  assert.equal(line['suitable'], 0);
  assert.equal(line['withRoom'], 2);
});

test('jobs of which something runs are not logged', () => {
  // Guards against lines about jobs that wait for their own first step, and
  // against a wait that is counted from before a step was ready.
  const fixture = new Fixture(1);
  fixture.run(STEP_MS);
  fixture.submit('job', [{estimatedMs: 60_000}, {after: [0]}]);
  fixture.run(4000);
  fixture.worker('w0').health.block(0, 60_000);
  fixture.finish(fixture.worker('w0'));
  fixture.run(1900);
  assert.deepEqual(fixture.waits(), []);
  fixture.run(1100);
  const [line] = fixture.waits();
  assert.equal(line?.['step'], '0.1');
  assert.ok((line['idleMs'] as number) <= 3000);
});

test('a long-running task that does not run is logged although others do', () => {
  // Guards against users of one task who wait unnoticed, since other tasks of
  // its step serve theirs.
  const fixture = new Fixture(1);
  fixture.run(STEP_MS);
  const step = {taskCount: 3, cpuMillicores: 4000, isLongRunning: true};
  fixture.submit('job', [step]);
  fixture.run(4000);
  const [line] = fixture.waits();
  assert.deepEqual(line?.['tasks'], {running: 2, waiting: 1});
  assert.deepEqual(line['excluded'], {cpu: 1});
});

test('a job whose starts are refused again and again is logged', () => {
  // Guards against a wait that seems to begin anew with each refused start.
  const fixture = new Fixture(2);
  fixture.outcome = {kind: 'refused', reason: RefusalReason.INVALID};
  fixture.submit('job');
  fixture.run(4000);
  const [line] = fixture.waits();
  assert.ok((line?.['refusals'] as number) > 3);
  assert.equal(line?.['hold'] ?? 'start-delayed', 'start-delayed');
});

test('a job whose run is in doubt is logged with its worker', () => {
  // Guards against a job that waits for a worker which does not answer, and of
  // which no line names that worker.
  const fixture = new Fixture(1);
  fixture.run(STEP_MS);
  fixture.outcome = {kind: 'unknown', reason: 'timeout'};
  const {orchestrator} = fixture;
  fixture.submit('job');
  orchestrator.schedule();
  applyPending(orchestrator.takePending());
  const [task] = [...orchestrator.jobs.get('job')!.tasks()];
  orchestrator.handleStartOutcome(task!, 1, fixture.outcome);
  orchestrator.handleStopOutcome(task!, 1, fixture.outcome);
  for (let passed = 0; passed < 4000; passed += STEP_MS) {
    fixture.clock.advance(STEP_MS);
    orchestrator.tick();
  }
  const [line] = fixture.waits();
  assert.equal(line?.['hold'], 'nothing-waiting');
  assert.deepEqual(line['tasks'], {stopping: 1});
  assert.deepEqual(line['workers'], ['w0']);
  const stop = fixture.lines.find(({msg}) => msg === 'stop-not-confirmed');
  assert.equal(stop?.['reason'], 'timeout');
});

test('few lines are written when many jobs wait, those with room first', () => {
  // Guards against lines that crowd out others under overload, and against a
  // job that could run and of which no line tells, since many others wait.
  const fixture = new Fixture(2);
  fixture.run(STEP_MS);
  for (let number = 0; number < 100; number++) {
    fixture.submit(`large${number}`, [{cpuMillicores: 9000}]);
  }
  fixture.worker('w0').health.block(0, 60_000);
  fixture.worker('w1').health.block(0, 60_000);
  fixture.submit('small');
  fixture.run(3000);
  assert.equal(fixture.waits()[0]?.['job'], 'small');
  fixture.run(7000);
  assert.ok(fixture.waits().length <= 8 * 9);
  assert.equal(fixture.waits('small').length, 2);
  const {idleJobs, idleJobsWithRoom, longestIdleMs} =
    fixture.orchestrator.waitSummary;
  assert.equal(idleJobs, 101);
  assert.equal(idleJobsWithRoom, 1);
  assert.ok(longestIdleMs >= 8000);
});

test('a job that cannot be explained does not keep others from being logged', () => {
  // Guards against an unexpected error that hides why all other jobs wait.
  const fixture = new Fixture(1);
  fixture.run(STEP_MS);
  fixture.worker('w0').health.block(0, 60_000);
  fixture.submit('broken');
  fixture.submit('job');
  const broken = fixture.orchestrator.jobs.get('broken')!;
  const [task] = [...broken.tasks()];
  Object.defineProperty(task, 'name', {
    get: () => assert.fail('unexpected'),
  });
  fixture.run(4000);
  const failure = fixture.lines.find(({msg}) => msg === 'wait-not-explained');
  assert.equal(failure?.['job'], 'broken');
  assert.equal(fixture.waits('job').length, 1);
});

test('idle jobs with room are counted whatever the sizes of others', () => {
  // Guards against a job that could run and is not counted, since the answer for
  // a larger or smaller request is used for it.
  const fixture = new Fixture(2);
  fixture.run(STEP_MS);
  fixture.worker('w0').health.block(0, 60_000);
  fixture.worker('w1').health.block(0, 60_000);
  // Each worker has 8000 millicores and 16000 MB.
  let withRoom = 0;
  for (let number = 0; number < 60; number++) {
    const cpuMillicores = 4000 + ((number * 7) % 9) * 1000;
    const memoryMb = 12_000 + ((number * 5) % 7) * 1000;
    if (cpuMillicores <= 8000 && memoryMb <= 16_000) withRoom += 1;
    fixture.submit(`job${number}`, [{cpuMillicores, memoryMb}]);
  }
  fixture.run(4000);
  assert.ok(withRoom > 10 && withRoom < 50);
  assert.equal(fixture.orchestrator.waitSummary.idleJobsWithRoom, withRoom);
});
