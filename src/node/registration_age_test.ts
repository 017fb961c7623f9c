import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {sleep} from '../clock/sleep.js';
import {ManualClock} from '../clock/manual_clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {CancelledJobs} from '../work/cancelled_jobs.js';
import {JobTable} from '../work/job_table.js';
import {NodeMirrors} from './node_mirrors.js';
import {PlatformBinding} from './platform_binding.js';

/** Time in ms for which the responses to watches are not read. */
const DELAY_MS = 3000;

/** Maximum duration in ms of one watch. */
const WATCH_MS = 1000;

/** Store whose responses to watches are read once a promise resolves. */
class LateStore extends MemoryStore {
  until: Promise<void> = Promise.resolve();

  override async watch(
    ...call: Parameters<MemoryStore['watch']>
  ): ReturnType<MemoryStore['watch']> {
    const {until} = this;
    const [prefix, options] = call;
    const answer = await super.watch(prefix, {...options, waitMs: 1});
    await until;
    return answer;
  }
}

test('registrations are as old as what a response that is read late tells', async () => {
  // Guards against starts on a worker that has said that it drains: an owner
  // that is behind with its events takes the age of the registrations from when
  // it reads a response, although the store answered long before.
  const store = new LateStore();
  const clock = new ManualClock();
  const log = silentLog();
  const keys = new PartitionKeys('main');
  const table = new JobTable(keys);
  const mirrors = new NodeMirrors({
    platform: {
      store,
      operatorPrefix: 'op/',
      workerPrefix: 'servers/',
      configurationKey: 'op/config',
      decodeWorker: () => ({}),
    } as unknown as PlatformBinding,
    clock,
    log,
    keys,
    table,
    cancelledJobs: new CancelledJobs({clock, log, keys, table}),
    isOwner: () => true,
    isLinked: () => false,
    onConfiguration: () => undefined,
    onEvacuations: () => undefined,
    onWorker: () => undefined,
    onWorkerRemoved: () => undefined,
    onOwnerKeyChange: () => undefined,
    onOwner: () => undefined,
  });
  let read: () => void = () => undefined;
  store.put('servers/w', Buffer.from('ready'));
  store.until = new Promise<void>((resolve) => (read = resolve));
  await mirrors.loadRegistry();
  await sleep(50);
  store.put('servers/w', Buffer.from('draining'));
  clock.advance(DELAY_MS);
  const before = mirrors.registrationAgeMs;
  // The next response, with the change, waits in its turn.
  store.until = new Promise<void>(() => undefined);
  read();
  await sleep(20);
  const after = mirrors.registrationAgeMs;
  mirrors.stop();
  assert.equal(before, DELAY_MS);
  assert.ok(after >= DELAY_MS - WATCH_MS, `age ${after} ms`);
});
