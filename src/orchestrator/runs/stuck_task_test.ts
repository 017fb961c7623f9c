import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {SteadyWorkers} from '../../../testing/steady_workers.js';

/**
 * Time in ms for which a task may wait while there is capacity for it twice over
 * and most of the service's capacity is free.
 */
const LONGEST_WAIT_MS = 3000;

const WORKERS = 4;

/** Time in ms in which a run without progress is noticed. */
const NOTICE_MS = 2500;

/** Number of jobs of which each takes a core of a worker. */
const SUBMISSIONS = 10;

const SUBMISSION_INTERVAL_MS = 1000;

test('tasks without progress do not keep other tasks from idle workers', () => {
  // Each run without progress blocks its worker, and is started again on another
  // one. Guards against a job that blocks all workers, most of whose room is
  // free, for work of others.
  const bench = new SteadyWorkers({
    workers: Array.from({length: WORKERS}, (_, number) =>
      simpleWorker(`w${number}`),
    ),
    isStuck: ({name}) => name.startsWith('stuck'),
  });
  const steps = [simpleStep({taskCount: WORKERS})];
  bench.submit(simpleJob('stuck', {steps}));
  const submittedMs = new Map<string, number>();
  for (let number = 0; number < SUBMISSIONS; number++) {
    bench.advance(SUBMISSION_INTERVAL_MS);
    bench.submit(simpleJob(`job${number}`));
    submittedMs.set(`job${number}.0.0.0`, bench.clock.nowMs());
  }
  bench.advance(LONGEST_WAIT_MS);
  const late = [...submittedMs].filter(([task, timeMs]) => {
    const startedMs = bench.startedMs.get(task) ?? Infinity;
    return startedMs - timeMs > LONGEST_WAIT_MS;
  });
  assert.deepEqual(late, []);
});

test('a worker on which a run makes no progress gets no task for a time', () => {
  // Guards against a worker that hangs and attracts the tasks of all jobs, since
  // it looks idle after each of them was stopped.
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w0'), simpleWorker('w1')],
    isStuck: ({assignment}) => assignment?.workerId === 'w0',
  });
  const steps = [simpleStep({cpuMillicores: 2000})];
  bench.submit(simpleJob('first', {steps}));
  bench.submit(simpleJob('second', {steps}));
  bench.advance(NOTICE_MS);
  const runningLater = ['third', 'fourth'].map((id) => {
    bench.submit(simpleJob(id, {steps}));
    bench.advance(1000);
    return bench.runningOn('w0');
  });
  assert.deepEqual(runningLater, [[], []]);
  assert.equal(bench.runningOn('w1').length, 4);
});

test('a task that is only slow is given more time with each run', () => {
  // Guards against a task that makes progress too rarely, and is stopped and
  // started again without end.
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w0'), simpleWorker('w1')],
    isStuck: ({name}) => name.startsWith('slow'),
  });
  bench.submit(simpleJob('slow'));
  bench.advance(120_000);
  assert.ok(bench.starts.length >= 4);
  assert.ok(bench.starts.length <= 7);
});
