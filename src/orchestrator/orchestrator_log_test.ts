import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../testing/apply_pending.js';
import {CapturedLine, createCapturedLog} from '../../testing/captured_log.js';
import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {simpleJob, simpleWorker} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {JobState} from './jobs/job_state.js';
import {Orchestrator} from './orchestrator.js';
import {OrchestratorEvent} from './orchestrator_event.js';
import {EndKind} from './workers/worker_port.js';

/** An owner of one worker, and the lines that it has logged. */
class Fixture {
  readonly lines: readonly CapturedLine[];
  readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  /** Events counted in the metrics. */
  readonly events: OrchestratorEvent[] = [];
  private readonly orchestrator: Orchestrator;

  constructor() {
    const {clock} = this;
    const {log, lines} = createCapturedLog(clock);
    this.lines = lines;
    this.orchestrator = createOrchestrator({
      clock,
      log,
      countEvent: (event) => this.events.push(event),
    });
    this.orchestrator.upsertWorker(simpleWorker('w'));
    this.orchestrator.addJob(new JobState(simpleJob('job'), 0));
  }

  /** Sends a report in which the run on the worker has ended, if `kind` is set. */
  report(kind?: EndKind): void {
    const worker = this.orchestrator.workers.get('w')!;
    const [task] = [...worker.tasks];
    const sequence = worker.processedSequence + 1;
    const ended =
      task && kind
        ? [{sequence, task: task.name, run: task.run, kind, checkpoint: ''}]
        : [];
    const nowMs = this.clock.nowMs();
    const content = {clockMs: nowMs, bornMs: 1, running: [], ended};
    this.orchestrator.processReport(worker, content, nowMs);
  }

  runPass(): void {
    this.orchestrator.schedule();
    applyPending(this.orchestrator.takePending());
  }

  /** Line about the end of the job. */
  get end(): CapturedLine | undefined {
    return this.lines.find(({msg}) => msg === 'job-ended');
  }
}

test('the line about the end of a job tells what happened to its runs', () => {
  // The lines about single runs are left out at thousands of starts a second.
  // Guards against a late job that the log cannot explain.
  const fixture = new Fixture();
  fixture.clock.advance(400);
  fixture.report();
  fixture.runPass();
  fixture.report(EndKind.FAILED);
  fixture.runPass();
  fixture.report(EndKind.DONE);
  assert.equal(fixture.end?.['runs'], 2);
  assert.equal(fixture.end['failedRuns'], 1);
  assert.equal(fixture.end['firstStartMs'], 400);
  assert.equal(fixture.end['cause'], undefined);
});

test('the line about a failed job names its cause, the task and the workers', () => {
  // Guards against a job that is wrongly shown as failed, and of which the log
  // does not tell which task failed, and where.
  const fixture = new Fixture();
  fixture.report();
  for (let attempt = 0; attempt < 3; attempt++) {
    fixture.runPass();
    fixture.report(EndKind.FAILED);
  }
  assert.equal(fixture.end?.['phase'], 'failed');
  assert.equal(fixture.end['cause'], 'attempts');
  assert.equal(fixture.end['task'], 'job.0.0.0');
  assert.deepEqual(fixture.end['failedOn'], ['w', 'w', 'w']);
  assert.deepEqual(fixture.events, [OrchestratorEvent.JOB_FAILED]);
});
