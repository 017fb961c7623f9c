import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {Urgency} from '../contracts/urgency.js';
import {HeadroomFit, HeadroomFitOptions} from './headroom_fit.js';
import {PlacementRequest} from './placement_request.js';

function request(overrides: Partial<PlacementRequest>): PlacementRequest {
  return {
    taskId: 't',
    customer: 'a',
    kind: 'render',
    urgency: Urgency.BATCH,
    resources: {processors: 4, memoryMegabytes: 100, accelerators: 0},
    runTimeMs: 1000,
    value: 1,
    ...overrides,
  };
}

function policyOf(workers: number, options: HeadroomFitOptions): HeadroomFit {
  const policy = new HeadroomFit(options);
  for (let i = 0; i < workers; i++) {
    policy.addWorker({
      worker: `w${i}`,
      rack: `r${i % 4}`,
      capacity: {
        processors: 8,
        memoryMegabytes: 1000,
        accelerators: i === 0 ? 1 : 0,
      },
    });
  }
  return policy;
}

function placeAndCommit(
  policy: HeadroomFit,
  wanted: Partial<PlacementRequest>,
): string {
  const placement = policy.place(request(wanted));
  assert.ok(placement);
  const {worker} = placement;
  policy.commit({...request(wanted), worker, lostWorkMs: 0});
  return worker;
}

// Guards against a single rack failure that ends several replicas of a job.
test('spreads a group over all racks before it uses one twice', () => {
  const policy = policyOf(16, {});
  const racks = [0, 1, 2, 3].map((i) => {
    const worker = placeAndCommit(policy, {
      taskId: `t${i}`,
      spreadGroup: 'watcher',
    });
    return Number(worker.slice(1)) % 4;
  });
  assert.deepEqual(racks.sort(), [0, 1, 2, 3]);
});

// Guards against tasks without accelerators that occupy accelerator workers
// while other workers are free.
test('selects workers with accelerators last', () => {
  const policy = policyOf(3, {headroom: 0});
  const workers = [0, 1, 2, 3, 4].map((i) =>
    placeAndCommit(policy, {taskId: `t${i}`}),
  );
  assert.ok(!workers.slice(0, 4).includes('w0'));
  assert.equal(workers[4], 'w0');
});

// Guards against urgent work that waits because batch work uses all capacity.
test('keeps headroom for urgent work', () => {
  const policy = policyOf(4, {headroom: 0.25});
  for (let i = 0; i < 6; i++) placeAndCommit(policy, {taskId: `t${i}`});
  assert.equal(policy.place(request({taskId: 'more'})), undefined);
  const urgent = policy.place(request({urgency: Urgency.URGENT}));
  assert.deepEqual(urgent?.victims, []);
});

// Guards against headroom that keeps a task as large as the pool waiting
// forever.
test('starts a task too large to leave the headroom free', () => {
  const policy = policyOf(1, {headroom: 0.25});
  const resources = {processors: 8, memoryMegabytes: 1000, accelerators: 0};
  assert.ok(policy.place(request({resources})));
});

// Guards against evictions that lose more work than needed, and against the
// eviction of urgent work by urgent work.
test('evicts the cheapest task and never urgent work', () => {
  const policy = policyOf(2, {headroom: 0});
  const wanted = {urgency: Urgency.URGENT};
  for (let i = 0; i < 4; i++) placeAndCommit(policy, {taskId: `t${i}`});
  for (const [i, lostMs] of [9000, 100, 5000, 7000].entries()) {
    policy.setLostWork(`t${i}`, lostMs);
  }
  const placement = policy.place(request(wanted));
  assert.deepEqual(placement?.victims, ['t1']);
  for (let i = 0; i < 4; i++) {
    policy.release(`t${i}`);
    placeAndCommit(policy, {taskId: `u${i}`, ...wanted});
  }
  assert.equal(policy.place(request(wanted)), undefined);
});

// Guards against batch work that takes the freed capacity and is evicted again.
test('holds capacity temporarily after an eviction', () => {
  const clock = new ManualClock();
  const policy = policyOf(4, {
    headroom: 0,
    clock,
    holdHalfLifeMs: 10_000,
    maxHeldFraction: 0.5,
  });
  for (let i = 0; i < 8; i++) placeAndCommit(policy, {taskId: `t${i}`});
  assert.equal(
    policy.place(request({urgency: Urgency.URGENT}))?.victims.length,
    1,
  );
  policy.release('t0');
  assert.equal(policy.place(request({taskId: 'more'})), undefined);
  clock.advance(120_000);
  assert.ok(policy.place(request({taskId: 'more'})));
});

// Guards against several urgent tasks that wait for the resources of one
// victim.
test('chooses other victims while an eviction is in progress', () => {
  const policy = policyOf(1, {headroom: 0, clock: new ManualClock()});
  for (let i = 0; i < 2; i++) placeAndCommit(policy, {taskId: `t${i}`});
  const urgent = {urgency: Urgency.URGENT};
  const first = policy.place(request({...urgent, taskId: 'u0'}));
  const again = policy.place(request({...urgent, taskId: 'u0'}));
  const second = policy.place(request({...urgent, taskId: 'u1'}));
  assert.deepEqual(first?.victims, again?.victims);
  assert.notDeepEqual(first?.victims, second?.victims);
  assert.equal(policy.place(request({...urgent, taskId: 'u2'})), undefined);
});

// Guards against evicting work of a customer within its share on behalf of one
// that exceeds its share.
test('evicts work of a customer above its share first', () => {
  const shareUsageRatio = (customer: string): number =>
    customer === 'b' ? 3 : 1;
  const policy = policyOf(1, {headroom: 0, shareUsageRatio});
  placeAndCommit(policy, {taskId: 'ta', customer: 'a'});
  placeAndCommit(policy, {taskId: 'tb', customer: 'b'});
  policy.setLostWork('tb', 1000);
  const placement = policy.place(request({urgency: Urgency.URGENT}));
  assert.deepEqual(placement?.victims, ['tb']);
});

// Guards against sensitive work placed next to noisy neighbours.
test('avoids workers whose tasks would slow the task down', () => {
  const slowdown = (kind: string, neighbour: string): number =>
    kind === 'preview' && neighbour === 'render' ? 2 : 1;
  const policy = policyOf(3, {slowdown});
  const noisy = placeAndCommit(policy, {taskId: 'noisy'});
  const quiet = placeAndCommit(policy, {taskId: 'quiet', kind: 'preview'});
  assert.notEqual(quiet, noisy);
});
