import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';

import {FleetNode, NodeFleet} from './node_fleet.js';

const fleet = new NodeFleet();
before(() => fleet.start());
after(() => fleet.stop());

const JOB = {
  specification: 'text',
  steps: [
    {count: 4, cpu: 1000, memoryRequestMb: 500, estimatedMs: 300},
    {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300, after: [0]},
  ],
};

let nextId = 1;
const newId = (): string => (nextId++).toString(16).padStart(16, '0');

async function waitForState(
  node: FleetNode,
  id: string,
  wanted: string,
): Promise<void> {
  let state: string | undefined;
  for (let round = 0; round < 300; round++) {
    ({state} = await fleet.call(node, 'GET', {id}));
    if (state === wanted) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  assert.fail(`job ${id} is in state ${state}, expected ${wanted}`);
}

test('a job submitted to one node is shown as succeeded by another', async () => {
  // Guards against a broken path between callers, nodes and workers.
  const id = newId();
  const [first, second] = fleet.nodes;
  const {status} = await fleet.call(first!, 'POST', {id, body: JOB});
  assert.equal(status, 200);
  await waitForState(second!, id, 'succeeded');
});

test('accepted jobs succeed although the owner is killed', async () => {
  // Guards against jobs and tasks lost or run twice when another node takes
  // over ownership.
  const ids = Array.from({length: 6}, newId);
  const {owner} = fleet;
  const others = fleet.nodes.filter((node) => node !== owner);
  for (const id of ids) {
    const {status} = await fleet.call(others[0]!, 'POST', {id, body: JOB});
    assert.equal(status, 200);
  }
  await owner.process.kill();
  for (const id of ids) await waitForState(others[1]!, id, 'succeeded');
  owner.process.start();
  await fleet.waitUntilReady(owner);
  assert.deepEqual(fleet.violations, []);
});

test('a stopping node serves requests that still arrive', async () => {
  // Guards against requests aborted by a planned stop.
  const node = fleet.nodes.find((other) => other !== fleet.owner)!;
  const stopped = node.process.terminate();
  const id = newId();
  const {status} = await fleet.call(node, 'POST', {id, body: JOB});
  assert.equal(status, 200);
  assert.equal(await stopped, 0);
  await waitForState(fleet.owner, id, 'succeeded');
});
