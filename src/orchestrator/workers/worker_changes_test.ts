import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleWorker} from '../../../testing/simple_definitions.js';
import {WorkerChanges} from './worker_changes.js';
import {WorkerState} from './worker_state.js';

function createWorkers(count: number): WorkerState[] {
  return Array.from(
    {length: count},
    (_, number) => new WorkerState(simpleWorker(`w${number}`)),
  );
}

test('only workers that changed after a pass are returned, each once', () => {
  // Guards against free capacity that is not found, and against searches that
  // grow with the fleet while few workers change.
  const workers = createWorkers(3);
  const changes = new WorkerChanges();
  changes.beginPass(workers);
  const pass = changes.currentPass;
  assert.deepEqual(changes.changedAfter(pass), []);
  for (let round = 0; round < 2; round++) {
    workers[1]!.version += 1;
    changes.beginPass(workers);
  }
  assert.deepEqual(changes.changedAfter(pass), [workers[1]]);
  assert.deepEqual(changes.changedAfter(pass + 2), []);
});

test('a new worker counts as changed', () => {
  // Guards against a worker that joins during a burst and stays idle.
  const workers = createWorkers(2);
  const changes = new WorkerChanges();
  changes.beginPass(workers.slice(0, 1));
  const pass = changes.currentPass;
  changes.beginPass(workers);
  assert.deepEqual(changes.changedAfter(pass), [workers[1]]);
});

test('changes after a pass long ago are unknown', () => {
  // Guards against a search that misses changes which are no longer kept.
  const workers = createWorkers(1);
  const changes = new WorkerChanges();
  changes.beginPass(workers);
  const pass = changes.currentPass;
  for (let round = 0; round < 1000; round++) changes.beginPass(workers);
  assert.equal(changes.changedAfter(pass), undefined);
});
