import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleWorker} from '../../../testing/simple_definitions.js';
import {LossHistory} from './loss_history.js';
import {WorkerState} from './worker_state.js';

const WORKERS = 40;
const RACK_SIZE = 10;
const LOST_MS = 50_000;

interface Fixture {
  history: LossHistory;
  workers: readonly WorkerState[];
}

/** Creates four racks of workers, the first of which are lost at once. */
function loseWorkers(count: number, hasSuspect = false): Fixture {
  const workers = Array.from({length: WORKERS}, (_, number) => {
    const rack = `r${Math.floor(number / RACK_SIZE)}`;
    return new WorkerState(simpleWorker(`w${number}`, {labels: ['a', rack]}));
  });
  const history = new LossHistory(() => workers);
  for (const [number, worker] of workers.slice(0, count).entries()) {
    worker.lostMs = LOST_MS + number;
    history.recordLoss(worker, hasSuspect);
  }
  return {history, workers};
}

test('the loss of a rack is widespread', () => {
  // Guards against work that is given up because its racks lost power.
  const {history, workers} = loseWorkers(RACK_SIZE);
  assert.ok(workers.slice(0, RACK_SIZE).every((w) => history.isWidespread(w)));
});

test('losses of single workers are not widespread', () => {
  // Guards against a task whose crashes are never counted.
  const {history, workers} = loseWorkers(3);
  assert.equal(history.isWidespread(workers[0]!), false);
});

test('losses that suspects explain are not widespread', () => {
  // Guards against crashing tasks that excuse each other.
  const {history, workers} = loseWorkers(RACK_SIZE, true);
  assert.equal(history.isWidespread(workers[0]!), false);
});

test('workers that answer again were not lost', () => {
  // Guards against crashes that are not counted because polls of many workers
  // were not answered for a moment.
  const {history, workers} = loseWorkers(RACK_SIZE);
  for (const worker of workers.slice(1)) history.removeLoss(worker);
  assert.equal(history.isWidespread(workers[0]!), false);
});

test('a machine that crashed without a cause is unreliable for a time', () => {
  // Guards against work that is blamed for the faults of one machine.
  const {history} = loseWorkers(0);
  history.recordUnexplained('a:1', {atMs: LOST_MS, suspects: []});
  assert.equal(history.isUnreliable('a:1', LOST_MS + 30_000), true);
  assert.equal(history.isUnreliable('b:1', LOST_MS + 30_000), false);
  assert.equal(history.isUnreliable('a:1', LOST_MS + 90_000), false);
});
