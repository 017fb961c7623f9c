import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {SteadyWorkers} from '../../../testing/steady_workers.js';
import {CrashRole} from '../../work/crash_role.js';
import {StepDefinition} from '../../work/job_definition.js';
import {TaskState} from '../runs/task_state.js';

/**
 * Time in ms for which a task may wait while there is capacity for it twice over
 * and most of the service's capacity is free.
 */
const LONGEST_WAIT_MS = 3000;

const SERVING: Partial<StepDefinition> = {
  isLongRunning: true,
  tailTargetMs: 50,
  image: 'serving',
};

/** Returns a tail latency far below its target, or the CPU in use. */
function gaugeOfLightLoad({step, percent, name}: TaskState): number {
  if (step.tailTargetMs === 0) return step.cpuMillicores;
  return 10 + ((percent + name.length) % 3);
}

test('a best-effort task starts beside more requests than a shrunken worker has', () => {
  // Guards against a start that is assigned, committed and withdrawn in each
  // pass: the worker shrank under its latency-critical tasks, of which only the
  // average use counts when a best-effort task is placed.
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w')],
    gaugeOf: gaugeOfLightLoad,
  });
  const steps = [
    simpleStep({...SERVING, taskCount: 2, cpuMillicores: 3000}),
    simpleStep({usesLeftoverCpu: true, image: 'fill', after: []}),
  ];
  bench.submit(simpleJob('serving', {steps: steps.slice(0, 1)}));
  bench.advance(1000);
  const capacity = {
    cpuMillicores: 5000,
    memoryMb: 16_000,
    acceleratorCount: 0,
  };
  bench.register(simpleWorker('w', {capacity}));
  bench.submit(simpleJob('fill', {steps: steps.slice(1)}));
  bench.advance(LONGEST_WAIT_MS);
  assert.ok(bench.runningOn('w').includes('fill.0.0.0'));
});

test('a best-effort step that lacks memory does not keep others waiting', () => {
  // Guards against jobs that wait for as long as a step of the same image with
  // as little CPU but more memory than any worker has free.
  const bench = new SteadyWorkers({workers: [simpleWorker('w')]});
  const fill = {usesLeftoverCpu: true, image: 'fill'};
  const large = simpleStep({...fill, memoryMb: 20_000});
  bench.submit(simpleJob('a-large', {steps: [large]}));
  bench.submit(simpleJob('b-small', {steps: [simpleStep(fill)]}));
  bench.advance(LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['b-small.0.0.0']);
});

test('a step at its limit per worker does not keep other steps of its job waiting', () => {
  // Guards against tasks of a long-running job that wait for ever because
  // another step of the job has more tasks than its limit allows.
  const bench = new SteadyWorkers({workers: [simpleWorker('w')]});
  const limited = {isLongRunning: true, mostPerWorker: 1};
  const steps = [simpleStep({...limited, taskCount: 2}), simpleStep(limited)];
  bench.submit(simpleJob('job', {steps}));
  bench.advance(LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['job.0.0.0', 'job.0.1.0']);
});

test('a step that its advice keeps from all free workers does not stop others', () => {
  // Guards against a step whose advice is never requested because an earlier
  // step, or an earlier occurrence, of the same job waits for a worker.
  const configuration = simpleConfiguration();
  const queues = configuration.queues.map((queue) => ({
    ...queue,
    needsAdvice: true,
  }));
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w')],
    configuration: {...configuration, queues},
    ticketsFor: ({step}) =>
      new Map(step === 'job.0.1' ? [['w', 'ticket']] : []),
  });
  bench.submit(simpleJob('job', {steps: [simpleStep(), simpleStep()]}));
  bench.advance(LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['job.0.1.0']);
});

test('a best-effort task that interferes with all services does not wait for ever', () => {
  // Guards against a job that waits for a worker without latency-critical tasks
  // although each worker has one, so that there will be none.
  const workers = ['w1', 'w2', 'w3'].map((id) => simpleWorker(id));
  const bench = new SteadyWorkers({
    workers,
    gaugeOf: ({step}) => (step.tailTargetMs > 0 ? 30 : step.cpuMillicores),
  });
  const serving = simpleStep({...SERVING, taskCount: 3, mostPerWorker: 1});
  bench.submit(simpleJob('serving', {steps: [serving]}));
  bench.advance(2000);
  const fill = simpleStep({
    usesLeftoverCpu: true,
    image: 'fill',
    cpuMillicores: 4000,
  });
  bench.submit(simpleJob('fill', {steps: [fill]}));
  bench.advance(LONGEST_WAIT_MS);
  assert.ok(bench.starts.includes('fill.0.0.0'));
  assert.deepEqual(bench.speedLimits[0], {task: 'fill.0.0.0', percent: 10});
});

test('a best-effort task waits for headroom while its service is busy', () => {
  // Guards against best-effort tasks that press on latency-critical ones although
  // these need most of the capacity.
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w')],
    gaugeOf: ({step}) => (step.tailTargetMs > 0 ? 30 : step.cpuMillicores),
  });
  const serving = simpleStep({...SERVING, cpuMillicores: 6000});
  bench.submit(simpleJob('serving', {steps: [serving]}));
  bench.advance(2000);
  const fill = simpleStep({
    usesLeftoverCpu: true,
    image: 'fill',
    cpuMillicores: 4000,
  });
  bench.submit(simpleJob('fill', {steps: [fill]}));
  bench.advance(3 * LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['serving.0.0.0']);
});

test('a best-effort task with a larger request than is left over does not wait for ever', () => {
  // Guards against a request of a best-effort task, which does not count against
  // the capacity, that keeps it from workers that have shrunk.
  const capacity = {
    cpuMillicores: 4000,
    memoryMb: 16_000,
    acceleratorCount: 0,
  };
  const bench = new SteadyWorkers({workers: [simpleWorker('w', {capacity})]});
  const fill = {usesLeftoverCpu: true, image: 'fill', cpuMillicores: 5000};
  bench.submit(simpleJob('fill', {steps: [simpleStep(fill)]}));
  bench.advance(LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['fill.0.0.0']);
});

test('a step of which all tasks may crash their worker gets its advice', () => {
  // Guards against a task that waits for ever after its worker has crashed,
  // because advice is requested for other tasks only and its tickets expire.
  const configuration = simpleConfiguration();
  const queues = configuration.queues.map((queue) => ({
    ...queue,
    needsAdvice: true,
  }));
  const bench = new SteadyWorkers({
    workers: [simpleWorker('w1'), simpleWorker('w2')],
    configuration: {...configuration, queues},
    ticketsFor: () => new Map([['w2', 'ticket']]),
  });
  bench.submit(simpleJob('job'));
  const [task] = bench.orchestrator.jobs.get('job')!.tasks();
  task!.crashes.add({role: CrashRole.SUSPECT, isImmediate: false});
  bench.advance(LONGEST_WAIT_MS);
  assert.deepEqual(bench.starts, ['job.0.0.0']);
});
