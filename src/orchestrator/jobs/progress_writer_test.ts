import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleStep} from '../../../testing/simple_definitions.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {SeededRandom} from '../../random/seeded_random.js';
import {JobDefinition, JobPhase} from '../../work/job_definition.js';
import {
  decodeStoredProgress,
  groupProgress,
} from '../../work/stored_progress.js';
import {progressOf, restoreProgress} from './job_progress.js';
import {JobState} from './job_state.js';
import {ProgressWriter} from './progress_writer.js';
import {TaskState} from '../runs/task_state.js';

const KEYS = new PartitionKeys('main');

/** Three due occurrences of two steps with many tasks. */
const DEFINITION: JobDefinition = simpleJob('job', {
  steps: [simpleStep({taskCount: 20}), simpleStep({taskCount: 15})],
  repetitions: 3,
});

function createJob(): JobState {
  const job = new JobState(DEFINITION, 0);
  job.createDueOccurrences(1);
  return job;
}

/** A job whose progress is written to a store like that of an owner. */
class Fixture {
  readonly store = new Map<string, Buffer>();
  readonly keysWritten: string[] = [];
  readonly job: JobState;
  private readonly writer: ProgressWriter;

  constructor(job = createJob()) {
    this.job = job;
    this.writer = new ProgressWriter(job, KEYS);
  }

  assign(task: TaskState, workerId: string): void {
    task.apply('assigned');
    task.run += 1;
    task.assignment = {workerId, workerBornMs: 7, workerAddress: 'a:1'};
    this.writer.addTask(task);
  }

  finish(task: TaskState): void {
    task.apply('committed');
    task.apply('done');
    task.assignment = undefined;
    this.job.recordTaskDone(task);
    this.writer.addTask(task);
  }

  addJob(): void {
    this.writer.addJob();
  }

  write(): void {
    const {key, value} = this.writer.createWrite();
    this.keysWritten.push(key);
    this.store.set(key, value);
  }

  /** Restores the job as the next owner does. */
  restore(): JobState {
    const items = [...this.store].map(([key, value]) => ({key, value}));
    const stored = groupProgress(items, KEYS).get('job')!;
    const restored = createJob();
    restoreProgress(restored, decodeStoredProgress(stored)!);
    return restored;
  }

  assertRestored(): void {
    assert.deepEqual(progressOf(this.restore()), progressOf(this.job));
  }
}

test('the next owner restores what was written last, at any time', () => {
  // Guards against a task that runs twice because its assignment or its end is
  // in neither of the two records of its job.
  for (let seed = 1; seed <= 40; seed++) {
    const random = new SeededRandom(seed);
    let fixture = new Fixture();
    for (let step = 0; step < 120; step++) {
      const open = [...fixture.job.tasks()].filter(
        (task) => task.state !== 'done',
      );
      const task = open[random.nextInteger(open.length)];
      if (!task) break;
      if (task.state === 'waiting') fixture.assign(task, `w${step}`);
      else if (task.state === 'assigned') fixture.finish(task);
      if (random.next() < 0.05) fixture.addJob();
      if (random.next() < 0.5) continue;
      fixture.write();
      fixture.assertRestored();
      if (random.next() < 0.02) {
        const {store} = fixture;
        fixture = new Fixture(fixture.restore());
        for (const [key, value] of store) fixture.store.set(key, value);
        for (const inherited of fixture.job.tasks()) {
          if (inherited.state === 'inherited') inherited.apply('confirmed');
        }
      }
    }
  }
});

test('a few changed tasks do not write the whole job again', () => {
  // Guards against an owner that spends its time on records of which nearly
  // nothing has changed.
  const fixture = new Fixture();
  const tasks = [...fixture.job.tasks()];
  for (const task of tasks.slice(0, 20)) fixture.assign(task, 'w');
  fixture.write();
  const recordBytes = fixture.store.get(KEYS.progress('job'))!.length;
  for (const task of tasks.slice(0, 5)) {
    fixture.finish(task);
    fixture.write();
  }
  assert.deepEqual(fixture.keysWritten, [
    KEYS.progress('job'),
    ...Array<string>(5).fill(KEYS.progressChanges('job')),
  ]);
  const changeBytes = fixture.store.get(KEYS.progressChanges('job'))!.length;
  assert.ok(changeBytes * 4 < recordBytes, `${changeBytes} of ${recordBytes}`);
});

test('changes of an earlier record do not undo a later one', () => {
  // Guards against a finished task that runs again because changes that were
  // written before the latest record are applied to it.
  const fixture = new Fixture();
  const [task] = [...fixture.job.tasks()];
  fixture.write();
  fixture.assign(task!, 'w');
  fixture.write();
  fixture.finish(task!);
  fixture.addJob();
  fixture.write();
  assert.deepEqual(fixture.keysWritten, [
    KEYS.progress('job'),
    KEYS.progressChanges('job'),
    KEYS.progress('job'),
  ]);
  fixture.assertRestored();
});

test('the record of a job that has ended holds no tasks', () => {
  const fixture = new Fixture();
  fixture.assign([...fixture.job.tasks()][0]!, 'w');
  fixture.write();
  fixture.job.phase = JobPhase.CANCELLED;
  fixture.addJob();
  fixture.write();
  const {phase, occurrences} = progressOf(fixture.restore());
  assert.deepEqual({phase, occurrences}, {phase: 'cancelled', occurrences: []});
});
