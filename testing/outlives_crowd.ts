import assert from 'node:assert/strict';
import {test} from 'node:test';

import {request} from 'undici';

import {sleep} from '../src/clock/sleep.js';
import {ClientCrowd, CrowdMember} from './client_crowd.js';
import {FleetNode, NodeFleet} from './node_fleet.js';
import {readProcessUsage} from './process_usage.js';

/** Peak of the resident memory in MB; a node without clients needs 100. */
const MEMORY_BOUND_MB = 210;

/** Limit on the descriptors of a node, and the part that may be in use. */
const DESCRIPTOR_LIMIT = 500;
const DESCRIPTOR_BOUND = 400;

/** Limits of the door, lowered to fit the limit on descriptors. */
const DOOR = {
  mostConnections: 200,
  mostInService: 100,
  heldBytes: 8_388_608,
};

/** Limit in MB on the heap of a node, lowered so that a small crowd shows it. */
const HEAP_LIMIT_MB = 96;

/** Rounds in which an ordinary request may be answered, one a second. */
const ROUNDS = 30;

const READINESS_PATH = '/api/readiness';

/** Clients that misbehave in the same way. */
export interface Crowd {
  clients: number;
  memberOf: (client: number) => CrowdMember;
  /** Port that the crowd connects to. @default that of the callers */
  portOf?: (node: FleetNode) => number;
}

async function isReady(node: FleetNode): Promise<boolean> {
  const url = `http://127.0.0.1:${node.readinessPort}${READINESS_PATH}`;
  try {
    const {statusCode, body} = await request(url, {headersTimeout: 3000});
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

/** Repeats a step once a second until it succeeds. */
async function eventually(step: () => Promise<boolean>): Promise<boolean> {
  for (let round = 0; round < ROUNDS; round++) {
    if (await step()) return true;
    await sleep(1000);
  }
  return false;
}

/** Asserts that a job is taken and run, and that the node says it is ready. */
async function assertServes(
  fleet: NodeFleet,
  node: FleetNode,
  id: string,
): Promise<void> {
  const step = {count: 1, cpu: 100, memoryRequestMb: 10, estimatedMs: 300};
  const body = {specification: 'text', steps: [step]};
  const isTaken = await eventually(async () => {
    const {status} = await fleet.call(node, 'POST', {id, body});
    return status === 200;
  });
  assert.ok(isTaken, `job ${id} was not taken`);
  const isDone = await eventually(async () => {
    const {state} = await fleet.call(node, 'GET', {id});
    return state === 'succeeded';
  });
  assert.ok(isDone, `job ${id} was not run`);
  assert.ok(await eventually(() => isReady(node)), 'the node is not ready');
}

/** Defines the test that a node outlives a crowd. */
export function testCrowd(
  name: string,
  {clients, memberOf, portOf}: Crowd,
): void {
  test(`a node outlives ${name}`, async () => {
    // Guards against clients that run a process out of memory or descriptors, or
    // keep it from serving others.
    const fleet = new NodeFleet({
      nodes: 1,
      descriptorLimit: DESCRIPTOR_LIMIT,
      heapLimitMb: HEAP_LIMIT_MB,
      door: DOOR,
    });
    let crowd: ClientCrowd | undefined;
    try {
      await fleet.start();
      const node = fleet.nodes[0]!;
      const {pid} = node.process;
      await assertServes(fleet, node, 'f000000000000000');
      const port = portOf?.(node) ?? node.callersPort;
      crowd = new ClientCrowd({port, clients, memberOf});
      await crowd.press();
      await sleep(500);
      const pressed = readProcessUsage(pid!);
      await assertServes(fleet, node, 'f000000000000001');
      crowd.leave();
      await assertServes(fleet, node, 'f000000000000002');
      const usage = readProcessUsage(pid!);
      assert.ok(pressed && usage, 'the process has ended');
      assert.equal(node.process.pid, pid);
      const descriptors = Math.max(pressed.descriptors, usage.descriptors);
      const {peakMemoryMb} = usage;
      assert.ok(descriptors <= DESCRIPTOR_BOUND, `${descriptors} descriptors`);
      assert.ok(peakMemoryMb <= MEMORY_BOUND_MB, `${peakMemoryMb} MB`);
    } finally {
      crowd?.leave();
      await fleet.stop();
    }
  });
}
