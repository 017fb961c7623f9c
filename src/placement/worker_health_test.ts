import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {SeededRandom} from '../random/seeded_random.js';
import {HealthState, WorkerHealth} from './worker_health.js';

const WORKERS = 20;

function fleet(): {clock: ManualClock; health: WorkerHealth} {
  const clock = new ManualClock();
  const health = new WorkerHealth(clock);
  for (let i = 0; i < WORKERS; i++) health.addWorker(`w${i}`);
  return {clock, health};
}

/** Ends `count` tasks on random workers; `fails` decides by worker and kind. */
function run(
  health: WorkerHealth,
  options: {
    count: number;
    fails: (end: {worker: number; kind: string}) => boolean;
  },
): void {
  const random = new SeededRandom(7);
  for (let i = 0; i < options.count; i++) {
    const worker = random.nextInteger(WORKERS);
    const kind = random.next() < 0.5 ? 'good' : 'bad';
    const hasFailed = options.fails({worker, kind});
    health.record({worker: `w${worker}`, kind, job: `j${i}`, hasFailed});
  }
}

function unhealthyWorkers(health: WorkerHealth): string[] {
  return [...Array(WORKERS).keys()]
    .map((i) => `w${i}`)
    .filter((worker) => health.state(worker) !== HealthState.HEALTHY);
}

// Guards against a broken worker that ends every task it is given as failed.
test('drains the worker on which everything fails, and no other', () => {
  const {health} = fleet();
  run(health, {count: 300, fails: ({worker}) => worker === 3});
  assert.deepEqual(unhealthyWorkers(health), ['w3']);
});

// Guards against healthy workers drained for kinds of work that always fail.
test('keeps workers when a kind fails everywhere', () => {
  const {health} = fleet();
  run(health, {count: 600, fails: ({kind}) => kind === 'bad'});
  assert.deepEqual(unhealthyWorkers(health), []);
});

// Guards against one job that condemns each worker it is tried on, and against
// a job that is tried forever.
test('blames a job that fails on three healthy workers', () => {
  const {health} = fleet();
  run(health, {count: 100, fails: () => false});
  for (const job of ['a', 'b', 'c', 'd']) {
    for (const worker of ['w1', 'w2', 'w3']) {
      assert.equal(health.isJobAtFault(job), false);
      health.record({worker, kind: 'good', job, hasFailed: true});
    }
    assert.equal(health.isJobAtFault(job), true);
  }
  assert.deepEqual(unhealthyWorkers(health), []);
});

// Guards against a job blamed for the failures of a broken worker.
test('blames the worker when its jobs succeed elsewhere', () => {
  const {health} = fleet();
  run(health, {count: 100, fails: () => false});
  for (const job of ['a', 'b', 'c']) {
    health.record({worker: 'w1', kind: 'good', job, hasFailed: true});
    health.record({worker: 'w2', kind: 'good', job, hasFailed: false});
    assert.equal(health.isJobAtFault(job), false);
  }
  assert.deepEqual(unhealthyWorkers(health), ['w1']);
});

// Guards against a repaired worker that stays unused, and against full load
// on one that is still broken.
test('probes a drained worker and takes it back after successes', () => {
  const {clock, health} = fleet();
  run(health, {count: 300, fails: ({worker}) => worker === 3});
  const end = {worker: 'w3', kind: 'good', job: 'probe'};
  assert.equal(health.state('w3'), HealthState.DRAINING);
  clock.advance(15_000);
  assert.equal(health.state('w3'), HealthState.PROBING);
  health.record({...end, hasFailed: true});
  clock.advance(15_000);
  assert.equal(health.state('w3'), HealthState.DRAINING);
  clock.advance(15_000);
  health.record({...end, hasFailed: false});
  assert.equal(health.state('w3'), HealthState.PROBING);
  health.record({...end, hasFailed: false});
  assert.equal(health.state('w3'), HealthState.HEALTHY);
});

// Guards against a fault that all workers share draining the whole pool.
test('drains at most a quarter of the workers', () => {
  const {health} = fleet();
  run(health, {count: 200, fails: () => false});
  run(health, {count: 400, fails: ({worker}) => worker % 2 === 0});
  assert.ok(unhealthyWorkers(health).length <= WORKERS / 4);
});
