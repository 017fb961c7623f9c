import assert from 'node:assert/strict';

import {sleep} from '../src/clock/sleep.js';
import {FleetNode, NodeFleet} from './node_fleet.js';

/** Interval in ms between two looks at the state of a job. */
const LOOK_INTERVAL_MS = 50;

/** Looks after which a job has to be in the wanted state. */
const MOST_LOOKS = 400;

const SMALL_STEP = {
  count: 1,
  cpu: 1000,
  memoryRequestMb: 500,
  estimatedMs: 300,
};

/** Submits small jobs to the nodes of a fleet, as callers do. */
export class FleetJobs {
  private nextId = 1;

  constructor(private readonly fleet: NodeFleet) {}

  /** Submits a job with one task; returns its id. */
  async submit(node: FleetNode): Promise<string> {
    const id = (this.nextId++).toString(16).padStart(16, '0');
    const body = {specification: 'text', steps: [SMALL_STEP]};
    const {status} = await this.fleet.call(node, 'POST', {id, body});
    assert.equal(status, 200);
    return id;
  }

  /** Returns the state of a job; undefined if the node does not tell it. */
  async stateOf(node: FleetNode, id: string): Promise<string | undefined> {
    return (await this.fleet.call(node, 'GET', {id})).state;
  }

  /** Waits until a job has succeeded; fails if it takes too long. */
  async waitForSuccess(node: FleetNode, id: string): Promise<void> {
    let state: string | undefined;
    for (let look = 0; look < MOST_LOOKS; look++) {
      state = await this.stateOf(node, id);
      if (state === 'succeeded') return;
      await sleep(LOOK_INTERVAL_MS);
    }
    assert.fail(`job ${id} is in state ${state}, expected succeeded`);
  }

  /** Submits a job with one task and waits until it has succeeded. */
  async run(node: FleetNode): Promise<void> {
    await this.waitForSuccess(node, await this.submit(node));
  }
}
