import assert from 'node:assert/strict';
import {test} from 'node:test';

import {createOrchestrator} from '../../../testing/create_orchestrator.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {JobPhase} from '../../work/job_definition.js';
import {TaskRecord} from '../../work/job_records.js';
import {restoreProgress} from '../jobs/job_progress.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {EndReport} from './worker_port.js';

function running(index: number): TaskRecord {
  return {
    index,
    run: 1,
    failures: 0,
    isDone: false,
    workerId: 'w',
    workerBornMs: 1,
  };
}

function doneEnd(index: number): EndReport {
  const task = `job.0.0.${index}`;
  return {sequence: index + 1, task, run: 1, kind: 'done', checkpoint: ''};
}

/** Creates an owner that has inherited two runs on one worker. */
function takeOver(): {orchestrator: Orchestrator; job: JobState} {
  const orchestrator = createOrchestrator();
  orchestrator.upsertWorker(simpleWorker('w'));
  const steps = [simpleStep({taskCount: 2})];
  const job = new JobState(simpleJob('job', {steps}), 0);
  const rows = [running(0), running(1)];
  restoreProgress(job, {
    version: 1,
    phase: JobPhase.RUNNING,
    occurrences: [{number: 0, isDone: false, steps: [rows]}],
  });
  orchestrator.addJob(job);
  return {orchestrator, job};
}

function report(
  orchestrator: Orchestrator,
  content: {ended: EndReport[]; mayOmitEnds: boolean},
): void {
  const worker = orchestrator.workers.get('w')!;
  const facts = {clockMs: 0, bornMs: 1, running: []};
  orchestrator.processReport(worker, {...facts, ...content}, 0);
}

test('a run that a cut list of ends omits has not ended without success', () => {
  // Guards against work that is done and run again after a takeover: a worker
  // lists only its first ends, and the others were taken for lost.
  const {orchestrator, job} = takeOver();
  report(orchestrator, {ended: [doneEnd(0)], mayOmitEnds: true});
  const [first, second] = [...job.tasks()];
  assert.equal(first!.state, 'done');
  assert.equal(second!.state, 'inherited');
  report(orchestrator, {ended: [doneEnd(1)], mayOmitEnds: false});
  assert.equal(second!.state, 'done');
});

test('a run that a complete report does not list is placed again', () => {
  // Guards against runs that wait for ever for an end that was never recorded.
  const {orchestrator, job} = takeOver();
  report(orchestrator, {ended: [doneEnd(0)], mayOmitEnds: false});
  const [, second] = [...job.tasks()];
  assert.equal(second!.state, 'waiting');
});
