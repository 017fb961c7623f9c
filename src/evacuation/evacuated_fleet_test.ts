import assert from 'node:assert/strict';
import {test} from 'node:test';

import {request} from 'undici';

import {NodeFleet} from '../../testing/node_fleet.js';
import {sleep} from '../clock/sleep.js';
import {EvacuationsResponse} from './evacuations_response.js';

/** Time in ms for which a task would have started without the request. */
const HELD_MS = 2500;

/** Longest wait in ms for a task to start. */
const START_TIMEOUT_MS = 20_000;

/** Data centre of the workers of the fleet. */
const DATA_CENTRE = 'levis';

function job(): object {
  const step = {count: 2, cpu: 500, memoryRequestMb: 100, estimatedMs: 300};
  return {specification: 'text', steps: [step]};
}

async function waitForStart(fleet: NodeFleet, task: string): Promise<boolean> {
  const untilMs = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    if (fleet.startedMs.has(task)) return true;
    await sleep(50);
  }
  return false;
}

async function listEvacuations(fleet: NodeFleet): Promise<string[]> {
  const url = `http://127.0.0.1:${fleet.owner.metricsPort}/evacuations`;
  const {body} = await request(url);
  const {evacuations} = (await body.json()) as EvacuationsResponse;
  return evacuations.map(({dataCentre}) => dataCentre);
}

test('an evacuation holds through the death of the owner', async () => {
  // Guards against an owner, or its successor, that starts work in a data centre
  // that operators have evacuated, and against work that never starts after the
  // request is taken back.
  const fleet = new NodeFleet({nodes: 2});
  try {
    await fleet.start();
    fleet.requestEvacuation(DATA_CENTRE);
    await sleep(500);
    const {status} = await fleet.call(fleet.nodes[0]!, 'POST', {
      id: '00000000000000aa',
      body: job(),
    });
    assert.equal(status, 200);
    assert.deepEqual(await listEvacuations(fleet), [DATA_CENTRE]);
    await fleet.owner.process.kill();
    await sleep(HELD_MS);
    assert.equal(fleet.startedMs.size, 0);
    fleet.takeBackEvacuation(DATA_CENTRE);
    assert.ok(await waitForStart(fleet, '00000000000000aa.0.0.0'));
    assert.deepEqual(await listEvacuations(fleet), []);
    assert.deepEqual(fleet.violations, []);
  } finally {
    await fleet.stop();
  }
});
