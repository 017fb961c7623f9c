import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {JobState} from '../jobs/job_state.js';
import {OrphanRuns} from './orphan_runs.js';
import {RunningReport} from './worker_port.js';
import {WorkerState} from './worker_state.js';

function running(task: string): RunningReport {
  return {task, run: 1, checkpoint: '', percent: 0, gauge: undefined};
}

test('a report with very many unknown runs causes a bounded number of stops', () => {
  // Guards against one worker that lists 100,000 runs which nobody started, and
  // an owner that queues a command for each of them at each report.
  const stopped: string[] = [];
  const orphans = new OrphanRuns({
    jobs: new Map(),
    effects: {stopOrphanRun: ({task}) => stopped.push(task)},
  });
  const worker = new WorkerState(simpleWorker('w'));
  const runs = Array.from({length: 100_000}, (_, index) =>
    running(`job.0.0.${index}`),
  );
  orphans.handle(runs, worker);
  assert.ok(stopped.length <= 500, `${stopped.length} stops`);
  assert.ok(worker.hasOrphans);
});

test('a run of a known job uses its room until it has ended', () => {
  // Guards against a worker that is filled beyond its capacity while runs of an
  // ended job are being stopped.
  const job = new JobState(simpleJob('job'), 0);
  const stopped: string[] = [];
  const orphans = new OrphanRuns({
    jobs: new Map([['job', job]]),
    effects: {stopOrphanRun: ({task}) => stopped.push(task)},
  });
  const worker = new WorkerState(simpleWorker('w'));
  const {freeCpu} = worker;
  orphans.handle([running('job.0.0.0')], worker);
  assert.deepEqual(stopped, ['job.0.0.0']);
  assert.equal(worker.freeCpu, freeCpu - 1000);
  orphans.handle([], worker);
  assert.equal(worker.freeCpu, freeCpu);
});
