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

/** Ends `count` tasks on random workers; `fails` decides which of them fail. */
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

// Guards against a broken worker on which every task fails.
test('drains only the worker on which every task fails', () => {
  const {health} = fleet();
  run(health, {count: 300, fails: ({worker}) => worker === 3});
  assert.deepEqual(unhealthyWorkers(health), ['w3']);
});

// Guards against draining healthy workers because of kinds that always fail.
test('drains no worker when a kind fails everywhere', () => {
  const {health} = fleet();
  run(health, {count: 600, fails: ({kind}) => kind === 'bad'});
  assert.deepEqual(unhealthyWorkers(health), []);
});

// Guards against a faulty job that drains each worker on which it runs, and
// against retrying such a job forever.
test('attributes failures on three healthy workers to the job', () => {
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

// Guards against attributing the failures of a broken worker to the job.
test('attributes failures to the worker when its jobs succeed elsewhere', () => {
  const {health} = fleet();
  run(health, {count: 100, fails: () => false});
  for (const job of ['a', 'b', 'c']) {
    health.record({worker: 'w1', kind: 'good', job, hasFailed: true});
    health.record({worker: 'w2', kind: 'good', job, hasFailed: false});
    assert.equal(health.isJobAtFault(job), false);
  }
  assert.deepEqual(unhealthyWorkers(health), ['w1']);
});

// Guards against leaving a repaired worker unused, and against placing full
// load on a worker that is still broken.
test('probes a drained worker and restores it after successes', () => {
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

// Guards against draining the whole pool for a fault that many workers share.
test('drains at most a quarter of the workers', () => {
  const {health} = fleet();
  run(health, {count: 200, fails: () => false});
  run(health, {count: 400, fails: ({worker}) => worker % 2 === 0});
  assert.ok(unhealthyWorkers(health).length <= WORKERS / 4);
});
