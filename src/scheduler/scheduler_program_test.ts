import assert from 'node:assert/strict';
import {test} from 'node:test';
import {tmpdir} from 'node:os';
import {mkdtempSync} from 'node:fs';
import {join} from 'node:path';

import {sleep} from '../clock/sleep.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Fleet} from '../../testing/fleet.js';
import {SchedulerCaller} from '../../testing/scheduler_caller.js';
import {JobStatus} from './job_status.js';

const TIMEOUT_MS = 20_000;

async function eventually<T>(
  description: string,
  attempt: () => Promise<T | undefined>,
): Promise<T> {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  let lastError: unknown;
  while (performance.now() < deadlineMs) {
    try {
      const found = await attempt();
      if (found !== undefined) return found;
    } catch (error) {
      lastError = error;
    }
    await sleep(50);
  }
  throw new Error(
    `${description}: not within ${TIMEOUT_MS} ms; last: ${String(lastError)}`,
  );
}

function submission(id: string, fields: object = {}): {job: object} {
  return {
    job: {
      id,
      customer: 'association',
      kind: 'render',
      resources: {processors: 2, memoryMegabytes: 1000},
      payload: {actualRunTimeMs: 300},
      ...fields,
    },
  };
}

function waitForEnd(
  caller: SchedulerCaller,
  jobId: string,
): Promise<JobStatus> {
  return eventually(`end of ${jobId}`, async () => {
    const answer = await caller.call('jobStatus', {jobId});
    return answer.state === 'ended' ? answer : undefined;
  });
}

function hasCode(code: {number: number}): (error: unknown) => boolean {
  return (error) =>
    error instanceof ResultError && error.code.number === code.number;
}

test('a scheduler runs jobs on workers until they end', async (context) => {
  // Guards against jobs that are accepted and never run, that run again when
  // the request is repeated, or that lose progress when urgent work evicts
  // them.
  const fleet = await Fleet.start({
    dataCentres: [
      {name: 'd', entryVms: 1, targets: 0, racks: 2, workersPerRack: 2},
    ],
    workerCapacity: {processors: 4, memoryMegabytes: 8000, accelerators: 0},
    folder: mkdtempSync(join(tmpdir(), 'scheduler-')),
  });
  const {schedulerLinkPort} = fleet.members[0]!;
  const caller = new SchedulerCaller({
    port: schedulerLinkPort,
    dataCentre: 'd',
  });
  context.after(async () => {
    caller.stop();
    await fleet.stop();
  });
  await eventually('acceptance', () =>
    caller.call('submit', submission('first')),
  );

  await context.test('a repeated submission starts no second run', async () => {
    await caller.call('submit', submission('first'));
    assert.equal(
      (await waitForEnd(caller, 'first')).code,
      ResultCodes.OK.number,
    );
    await caller.call('submit', submission('first'));
    const {starts} = await fleet.workersControl();
    assert.equal(starts, 1);
  });

  await context.test('refuses a job that fits on no worker', async () => {
    const resources = {processors: 5, memoryMegabytes: 1};
    await assert.rejects(
      caller.call('submit', submission('large', {resources})),
      hasCode(ResultCodes.NEVER_FITS),
    );
  });

  await context.test('resumes jobs that urgent work evicted', async () => {
    const large = {
      resources: {processors: 4, memoryMegabytes: 1000},
      payload: {actualRunTimeMs: 3000},
      count: 2,
    };
    for (const id of ['b1', 'b2', 'b3', 'b4']) {
      await caller.call('submit', submission(id, large));
    }
    await sleep(1000);
    const answer = await caller.call(
      'submit',
      submission('u', {urgency: 'urgent', isAttached: true}),
    );
    assert.equal(answer.code, ResultCodes.OK.number);
    for (const id of ['b1', 'b2', 'b3', 'b4']) {
      const {code} = await waitForEnd(caller, id);
      assert.equal(code, ResultCodes.OK.number);
    }
  });

  await context.test(
    'ends a job as failed once it has failed on each worker',
    async () => {
      const failing = {payload: {actualRunTimeMs: 50, fails: true}};
      await caller.call('submit', submission('failing', failing));
      const {code, tasks} = await waitForEnd(caller, 'failing');
      assert.equal(code, ResultCodes.FAILED.number);
      const workers = tasks[0]!.failures!.map(({worker}) => worker);
      assert.equal(new Set(workers).size, 2);
    },
  );

  await context.test('excludes a worker on which all tasks fail', async () => {
    const worker = 'd-worker-1';
    await fleet.workersControl({worker, faults: {failsEverything: true}});
    const small = {
      resources: {processors: 1, memoryMegabytes: 100},
      runTimeMs: 50,
      payload: {actualRunTimeMs: 50},
    };
    const failuresAmong = async (ids: string[]): Promise<number> => {
      // Eight tasks fill both workers, so that the broken one gets some.
      for (let index = 0; index < ids.length; index += 8) {
        const burst = ids.slice(index, index + 8);
        await Promise.all(
          burst.map((id) => caller.call('submit', submission(id, small))),
        );
        await sleep(300);
      }
      const answers = await Promise.all(
        ids.map((id) => waitForEnd(caller, id)),
      );
      assert.ok(answers.every(({code}) => code === ResultCodes.OK.number));
      return answers.filter(({tasks}) => tasks[0]!.failures).length;
    };
    // The broken worker gets no tasks for 15 s, longer than a batch takes.
    const batch = (name: string): string[] =>
      Array.from({length: 24}, (_, index) => `${name}-${index}`);
    assert.ok((await failuresAmong(batch('early'))) > 0);
    let batches = 1;
    while ((await failuresAmong(batch(`drain-${batches}`))) > 0) {
      batches += 1;
      assert.ok(batches <= 4, 'the broken worker is still assigned tasks');
    }
    assert.equal(await failuresAmong(batch('late')), 0);
    await fleet.workersControl({worker, faults: {}});
  });

  await context.test('cancelling an endless job ends it', async () => {
    const endless = {payload: {actualRunTimeMs: 0}};
    await caller.call('submit', submission('watcher', endless));
    const status = await caller.call('cancel', {jobId: 'watcher'});
    assert.match(String(status.tasks[0]?.result), /^cancelled/);
  });

  const control = await fleet.workersControl();
  assert.deepEqual(control['details'], []);
  const scheduler = fleet.process('scheduler', fleet.members[0]!.member);
  assert.equal(await scheduler.terminate(), 0);
});
