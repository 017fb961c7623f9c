import assert from 'node:assert/strict';
import {test} from 'node:test';

import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';
import {SeededRandom} from '../random/seeded_random.js';
import {BestFit} from './best_fit.js';
import {ResourceEstimator, SizeOutcome} from './resource_estimator.js';

const DECLARED = {processors: 8, memoryMegabytes: 8000, accelerators: 1};
const TASK = {kind: 'render', declared: DECLARED, runTimeMs: 60_000};

let nextTask = 0;

/**
 * Runs a task with the estimated resources, of which the memory is enforced.
 *
 * @returns Whether the task fitted into its memory.
 */
function run(
  estimates: ResourceEstimator,
  needed: Partial<Resources>,
): boolean {
  const taskId = `t${nextTask++}`;
  const committed = estimates.estimate(TASK).resources;
  const need = {...DECLARED, ...needed};
  const usage = {
    processors: Math.min(committed.processors, need.processors),
    memoryMegabytes: Math.min(committed.memoryMegabytes, need.memoryMegabytes),
    accelerators: 1,
  };
  estimates.start({...TASK, taskId, committed});
  estimates.report({taskId, usage, speed: 0.5});
  const fits = need.memoryMegabytes <= committed.memoryMegabytes;
  const outcome = fits ? SizeOutcome.FINISHED : SizeOutcome.OUT_OF_MEMORY;
  estimates.end(taskId, {outcome, ranMs: 40_000});
  return fits;
}

// Guards against resources wasted on work that declares far too much.
test('lowers the estimate of tasks that need less than declared', () => {
  const estimates = new ResourceEstimator();
  assert.deepEqual(estimates.estimate(TASK).resources, DECLARED);
  for (let i = 0; i < 100; i++) {
    run(estimates, {processors: 2, memoryMegabytes: 1000});
  }
  const {resources, runTimeMs} = estimates.estimate(TASK);
  assert.ok(resources.processors >= 2 && resources.processors < 3);
  assert.ok(resources.memoryMegabytes >= 1000);
  assert.ok(resources.memoryMegabytes < 1600);
  assert.equal(resources.accelerators, 1);
  assert.ok(runTimeMs > 18_000 && runTimeMs < 25_000);
});

// Guards against tasks that are killed repeatedly for too little memory.
test('grows the estimate until tasks that declared too little fit', () => {
  const estimates = new ResourceEstimator();
  const needed = {processors: 12, memoryMegabytes: 30_000};
  for (let i = 0; i < 60; i++) run(estimates, needed);
  assert.ok(run(estimates, needed));
  assert.ok(estimates.estimate(TASK).resources.processors >= 12);
});

// Guards against a margin so small that killed tasks lose more work than the
// saved memory can do.
test('kills few tasks of a kind with varying needs', () => {
  const estimates = new ResourceEstimator();
  const random = new SeededRandom(3);
  const need = (): number => 2000 * Math.exp(random.next() + random.next());
  for (let i = 0; i < 300; i++) run(estimates, {memoryMegabytes: need()});
  let killed = 0;
  for (let i = 0; i < 1000; i++) {
    if (!run(estimates, {memoryMegabytes: need()})) killed += 1;
  }
  assert.ok(killed <= 20, `${killed} of 1000 killed`);
});

// Guards against estimates that never forget earlier needs.
test('follows a shift of the needs', () => {
  const estimates = new ResourceEstimator();
  for (let i = 0; i < 300; i++) run(estimates, {memoryMegabytes: 6000});
  for (let i = 0; i < 500; i++) run(estimates, {memoryMegabytes: 600});
  assert.ok(estimates.estimate(TASK).resources.memoryMegabytes < 1000);
});

// Guards against tasks that are killed repeatedly before their first report.
test('adds a sample of a task that was killed before any report', () => {
  const estimates = new ResourceEstimator();
  const ended = {outcome: SizeOutcome.OUT_OF_MEMORY, ranMs: 100};
  for (let i = 0; i < 5; i++) {
    const committed = estimates.estimate(TASK).resources;
    estimates.start({...TASK, taskId: 't', committed});
    estimates.end('t', ended);
  }
  assert.ok(estimates.estimate(TASK).resources.memoryMegabytes > 12_000);
});

// Guards against a scheduler that uses only the samples of its own shards.
test('shares each sample once', () => {
  const [one, other] = [new ResourceEstimator(), new ResourceEstimator()];
  run(one, {memoryMegabytes: 1000});
  one.takeSamples(8).forEach((sample) => other.addSample(sample));
  assert.deepEqual(other.estimate(TASK), one.estimate(TASK));
  assert.deepEqual(one.takeSamples(8), []);
  assert.deepEqual(other.takeSamples(8), []);
});

// Guards against commitments that shrink below what the worker enforces.
test('does not change the commitment of a running task', () => {
  const estimates = new ResourceEstimator();
  const policy = new BestFit();
  const capacity = {processors: 32, memoryMegabytes: 64_000, accelerators: 2};
  policy.addWorker({worker: 'w', rack: 'r', capacity});
  const {resources} = estimates.estimate(TASK);
  const enforced = {...resources};
  const work = {customer: 'c', urgency: Urgency.BATCH, value: 1, lostWorkMs: 0};
  policy.commit({...TASK, ...work, taskId: 't', worker: 'w', resources});
  for (let i = 0; i < 100; i++) {
    run(estimates, {processors: 1, memoryMegabytes: 500});
  }
  assert.ok(estimates.estimate(TASK).resources.memoryMegabytes < 2000);
  assert.deepEqual(policy.committed('t')?.resources, enforced);
  assert.equal(policy.freeTotals().memoryMegabytes, 56_000);
});

// Guards against memory that grows with the number of kinds.
test('evicts the least recently used kind', () => {
  const estimates = new ResourceEstimator({maxKinds: 2});
  const usage = {processors: 1, memoryMegabytes: 100, accelerators: 0};
  for (const kind of ['a', 'b', 'a', 'c']) {
    estimates.start({...TASK, kind, taskId: kind, committed: DECLARED});
    estimates.report({taskId: kind, usage, speed: 1});
    estimates.end(kind, {outcome: SizeOutcome.FINISHED, ranMs: 1});
  }
  const samples = ['a', 'b', 'c'].map(
    (kind) => estimates.estimate({...TASK, kind}).samples,
  );
  assert.deepEqual(samples, [2, 0, 1]);
});
