import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {JobPhase} from '../../work/job_definition.js';
import {TaskRecord} from '../../work/job_records.js';
import {restoreProgress} from '../jobs/job_progress.js';
import {JobState} from '../jobs/job_state.js';

const STEP = simpleStep({taskCount: 3, isGang: true, isCheckpointed: true});

function stored(index: number, checkpoint: string): TaskRecord {
  return {index, run: 1, failures: 0, isDone: false, checkpoint};
}

test('all members of a gang resume from the checkpoint that one reported', () => {
  // Guards against a gang that is started with unequal checkpoints after one of
  // its workers crashed: it never works, and ends alone again and again.
  const job = new JobState(simpleJob('job', {steps: [STEP]}), 0);
  const [first, second, third] = job.occurrence(0).steps[0]!.tasks;
  first!.checkpoint = 'one';
  second!.checkpoint = 'two';
  assert.equal(first!.checkpoint, 'two');
  assert.equal(third!.checkpoint, 'two');
});

test('a gang with unequal stored checkpoints is restored with one', () => {
  // Guards against records of earlier builds, and of members that were stored at
  // different times.
  const job = new JobState(simpleJob('job', {steps: [STEP]}), 0);
  const rows = [stored(0, ''), stored(1, 'one'), stored(2, 'two')];
  restoreProgress(job, {
    version: 1,
    phase: JobPhase.RUNNING,
    occurrences: [{number: 0, isDone: false, steps: [rows]}],
  });
  const checkpoints = new Set([...job.tasks()].map((task) => task.checkpoint));
  assert.equal(checkpoints.size, 1);
  assert.ok(!checkpoints.has(''));
});

test('a member without a stored checkpoint does not take it from the others', () => {
  // Guards against a gang that begins anew because the member that is restored
  // last had stored nothing.
  const job = new JobState(simpleJob('job', {steps: [STEP]}), 0);
  const rows = [stored(0, 'one'), stored(1, '')];
  restoreProgress(job, {
    version: 1,
    phase: JobPhase.RUNNING,
    occurrences: [{number: 0, isDone: false, steps: [rows]}],
  });
  for (const {checkpoint} of job.tasks()) assert.equal(checkpoint, 'one');
});

test('other tasks of a step keep checkpoints of their own', () => {
  // Guards against tasks that resume from the progress of a sibling.
  const steps = [{...STEP, isGang: false}];
  const job = new JobState(simpleJob('job', {steps}), 0);
  const [first, second] = job.occurrence(0).steps[0]!.tasks;
  first!.checkpoint = 'one';
  assert.equal(second!.checkpoint, '');
});
