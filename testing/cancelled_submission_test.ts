import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';

import {sleep} from '../src/clock/sleep.js';
import {FleetNode, NodeFleet} from './node_fleet.js';

const fleet = new NodeFleet();
before(() => fleet.start());
after(() => fleet.stop());

const BODY = {
  specification: 'text',
  steps: [{count: 1, cpu: 500, memoryRequestMb: 500, estimatedMs: 300}],
};

/** Time in ms in which the nodes first try to store a submission. */
const FIRST_ATTEMPT_MS = 300;

/** Time in ms in which an owner starts a stored job; cancelling takes less. */
const START_MS = 2000;

/** A cancellation of a job whose submission the store has not answered. */
interface Cancellation {
  id: string;
  node: FleetNode;
  /** Whether the client waits for its answer before it cancels. */
  waitsForAnswer: boolean;
}

/** Submits a job, of which the store answers no write, and cancels it. */
async function submitAndCancel(
  submittedTo: FleetNode,
  {id, node, waitsForAnswer}: Cancellation,
): Promise<number> {
  const submitting = fleet.call(submittedTo, 'POST', {id, body: BODY});
  if (waitsForAnswer) await submitting;
  else await sleep(FIRST_ATTEMPT_MS);
  return (await fleet.call(node, 'DELETE', {id})).status;
}

test('a job that was cancelled before it is stored never starts', async () => {
  // Guards against starts of a job whose cancelling was answered, by a write
  // that the store carries out late, by a node or client that repeats the
  // submission, and across the end of the owner and of the node that answered.
  const [first, second, third] = fleet.nodes as [
    FleetNode,
    FleetNode,
    FleetNode,
  ];
  const {store} = fleet.store;
  store.lateKey = '/submission';
  const statuses = await Promise.all([
    submitAndCancel(first, {
      id: 'b000000000000001',
      node: second,
      waitsForAnswer: true,
    }),
    submitAndCancel(first, {
      id: 'b000000000000002',
      node: first,
      waitsForAnswer: false,
    }),
    submitAndCancel(first, {
      id: 'b000000000000003',
      node: third,
      waitsForAnswer: false,
    }),
  ]);
  assert.deepEqual(statuses, [410, 410, 410]);
  const {owner} = fleet;
  await Promise.all([owner.process.kill(), second.process.kill()]);
  store.lateKey = undefined;
  const results = store.applyDelayedTransactions();
  assert.ok(results.length >= 3, `${results.length} late writes`);
  const rest = fleet.nodes.find((node) => node !== owner && node !== second)!;
  await fleet.waitUntilReady(rest);
  for (const number of [1, 2, 3]) {
    const id = `b00000000000000${number}`;
    const {status} = await fleet.call(rest, 'POST', {id, body: BODY});
    assert.equal(status, 503);
    assert.equal((await fleet.call(rest, 'GET', {id})).status, 410);
  }
  const other = 'b000000000000004';
  assert.equal(
    (await fleet.call(rest, 'POST', {id: other, body: BODY})).status,
    200,
  );
  await sleep(START_MS);
  const started = [...fleet.startedMs.keys()];
  assert.deepEqual(started, [`${other}.0.0.0`]);
});
