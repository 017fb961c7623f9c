import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';

import {Fleet} from '../../testing/fleet.js';
import {SchedulerCaller} from '../../testing/scheduler_caller.js';
import {sleep} from '../clock/sleep.js';

const OBSERVED_MS = 20_000;

/** Starts allowed: three crashes, and two more starts after them. */
const MAX_STARTS = 5;

test('the scheduler gives up a task that crashes its workers', async (context) => {
  // Guards against one task that takes down worker after worker, because runs
  // that end with their worker are repeated without a limit.
  const fleet = await Fleet.start({
    dataCentres: [
      {name: 'd', entryVms: 1, targets: 0, racks: 2, workersPerRack: 2},
    ],
    workerCapacity: {processors: 4, memoryMegabytes: 8000, accelerators: 0},
    folder: mkdtempSync(join(tmpdir(), 'scheduler-')),
  });
  const {schedulerLinkPort: port} = fleet.members[0]!;
  const caller = new SchedulerCaller({port, dataCentre: 'd'});
  context.after(async () => {
    caller.stop();
    await fleet.stop();
  });
  const job = {
    id: 'crashing',
    customer: 'association',
    kind: 'render',
    resources: {processors: 2, memoryMegabytes: 1000},
    payload: {actualRunTimeMs: 300, crashesWorker: true},
  };
  const untilMs = performance.now() + OBSERVED_MS;
  let isAccepted = false;
  while (performance.now() < untilMs) {
    if (!isAccepted) {
      isAccepted = await caller.call('submit', {job}).then(
        () => true,
        () => false,
      );
    }
    await sleep(100);
  }
  assert.ok(isAccepted);
  const {starts} = await fleet.workersControl();
  assert.ok(Number(starts) <= MAX_STARTS, `started ${String(starts)} times`);
});
