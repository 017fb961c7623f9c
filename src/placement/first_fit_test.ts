import assert from 'node:assert/strict';
import {test} from 'node:test';

import {Urgency} from '../contracts/urgency.js';
import {FirstFit} from './first_fit.js';
import {PlacementRequest} from './placement_request.js';

function request(taskId: string, processors: number): PlacementRequest {
  return {
    taskId,
    customer: 'a',
    kind: 'render',
    urgency: Urgency.BATCH,
    resources: {processors, memoryMegabytes: 1, accelerators: 0},
    runTimeMs: 1000,
    value: 1,
  };
}

function policyOf(workers: number): FirstFit {
  const policy = new FirstFit();
  for (let i = 0; i < workers; i++) {
    policy.addWorker({
      worker: `w${i}`,
      rack: 'r',
      capacity: {processors: 4, memoryMegabytes: 10, accelerators: 0},
    });
  }
  return policy;
}

// Guards against a baseline that does not implement first fit, which would make
// every comparison with it meaningless.
test('selects the first worker in order that fits and is not excluded', () => {
  const policy = policyOf(5);
  policy.commit({...request('t0', 4), worker: 'w0', lostWorkMs: 0});
  assert.equal(policy.place(request('t1', 1))?.worker, 'w1');
  policy.setAccepting('w1', false);
  assert.equal(policy.place(request('t1', 1))?.worker, 'w2');
  const excludedWorkers = new Set(['w2']);
  const placement = policy.place({...request('t1', 1), excludedWorkers});
  assert.equal(placement?.worker, 'w3');
  policy.release('t0');
  assert.equal(policy.place(request('t1', 1))?.worker, 'w0');
});

// Guards against commitments that exceed the capacity of a worker (P1).
test('refuses a commitment beyond the free resources', () => {
  const policy = policyOf(1);
  policy.commit({...request('t0', 3.5), worker: 'w0', lostWorkMs: 0});
  assert.throws(
    () => policy.commit({...request('t1', 0.6), worker: 'w0', lostWorkMs: 0}),
    /Cannot commit task "t1" on worker "w0"/,
  );
  policy.commit({...request('t1', 0.5), worker: 'w0', lostWorkMs: 0});
});

// Guards against jobs that wait forever because no worker is large enough.
test('explains immediately why a task never fits', () => {
  const policy = policyOf(0);
  assert.equal(policy.neverFitsReason(request('t', 5)), undefined);
  const grown = policyOf(3);
  assert.match(grown.neverFitsReason(request('t', 5)) ?? '', /largest worker/);
  assert.equal(grown.neverFitsReason(request('t', 4)), undefined);
});
