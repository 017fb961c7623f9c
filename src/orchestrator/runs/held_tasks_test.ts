import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {HeldTasks} from './held_tasks.js';
import {JobState} from '../jobs/job_state.js';

const TASKS_PER_JOB = 10_000;

function createJob(id: string): JobState {
  const steps = [simpleStep({taskCount: TASKS_PER_JOB})];
  return new JobState(simpleJob(id, {steps}), 0);
}

function countTasks(job: JobState): number {
  return [...job.tasks()].length;
}

test('an owner holds a bounded number of tasks, urgent ones first', () => {
  // Guards against many jobs of legal size that fill the memory of each owner,
  // and against urgent jobs that get no tasks because of them.
  const held = new HeldTasks({
    isUrgent: ({definition}) => definition.id === 'urgent',
    onAdded: () => undefined,
    onReleased: () => undefined,
  });
  const jobs = Array.from({length: 8}, (_, number) => createJob(`${number}`));
  for (const job of jobs) held.addJob(job, 0);
  assert.deepEqual(
    jobs.map((job) => countTasks(job) > 0),
    [true, true, true, true, true, true, false, false],
  );
  const urgent = createJob('urgent');
  held.addJob(urgent, 0);
  assert.equal(countTasks(urgent), TASKS_PER_JOB);
  held.releaseJob(jobs[0]!);
  held.releaseJob(jobs[1]!);
  held.update(jobs.slice(2), 0);
  assert.equal(countTasks(jobs[6]!), TASKS_PER_JOB);
  assert.equal(countTasks(jobs[7]!), 0);
});
