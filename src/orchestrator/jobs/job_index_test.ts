import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob} from '../../../testing/simple_definitions.js';
import {JobPhase} from '../../work/job_definition.js';
import {JobIndex} from './job_index.js';
import {JobState} from './job_state.js';

function addJob(index: JobIndex, id: string): JobState {
  const job = new JobState(simpleJob(id), 0);
  index.add(job);
  return job;
}

function finish(index: JobIndex, job: JobState, atMs: number): void {
  job.phase = JobPhase.SUCCEEDED;
  job.finalSinceMs = atMs;
  index.finish(job);
}

test('open jobs keep the order of their arrival when others finish', () => {
  // Guards against jobs that overtake older ones of the same rank.
  const index = new JobIndex();
  const [first, second, third] = ['a', 'b', 'c'].map((id) => addJob(index, id));
  finish(index, second!, 10);
  assert.deepEqual([...index.open], [first, third]);
  assert.equal(index.byId.get('b'), second);
});

test('finished jobs are listed up to a time and can be removed meanwhile', () => {
  // Guards against finished jobs that are kept for ever or dropped early.
  const index = new JobIndex();
  const [first, second, third] = ['a', 'b', 'c'].map((id) => addJob(index, id));
  finish(index, third!, 10);
  finish(index, first!, 20);
  finish(index, second!, 30);
  const listed: JobState[] = [];
  for (const job of index.finishedUntil(20)) {
    listed.push(job);
    index.remove(job);
  }
  assert.deepEqual(listed, [third, first]);
  assert.deepEqual([...index.byId.keys()], ['b']);
  assert.deepEqual([...index.finishedUntil(30)], [second]);
});

test('a job that is added after it has finished is not open', () => {
  // Guards against finished jobs that a new owner schedules again.
  const index = new JobIndex();
  const job = new JobState(simpleJob('a'), 0);
  job.phase = JobPhase.FAILED;
  job.finalSinceMs = 5;
  index.add(job);
  assert.equal(index.open.size, 0);
  assert.deepEqual([...index.finishedUntil(5)], [job]);
});
