import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {test} from 'node:test';

import {Caller} from '../../testing/caller.js';
import {Fleet} from '../../testing/fleet.js';
import {storeContract, TEST_CALLER_KEY} from '../../testing/store_contract.js';

const FOLDER = '.run/entry-program';
const SCRIPT = 'build/src/entry/banyanmux_entry.js';

test('check-settings reports file, line, key and value of an invalid setting', () => {
  // Guards against invalid settings that are noticed only while requests run.
  rmSync(FOLDER, {recursive: true, force: true});
  mkdirSync(FOLDER, {recursive: true});
  const file = `${FOLDER}/wrong.jsonc`;
  const entry = '"entry": {"limits": {\n"connections": 0}}';
  writeFileSync(file, `{ // comment\n${entry}}`);
  const run = spawnSync(
    process.execPath,
    [SCRIPT, 'check-settings', '--settings', file],
    {encoding: 'utf8'},
  );
  assert.equal(run.status, 78);
  assert.match(run.stderr, /wrong.jsonc:3: entry.limits.connections: given 0/);
  const help = spawnSync(process.execPath, [SCRIPT, '--help']);
  assert.equal(help.status, 0);
});

test('a second signal exits immediately and reports the aborted requests', async () => {
  // Guards against a shutdown that hangs on a long request, or that aborts
  // requests without reporting them.
  const fleet = await Fleet.start({
    folder: FOLDER,
    dataCentres: [
      {name: 'levis', entryVms: 1, targets: 1, racks: 0, workersPerRack: 0},
    ],
    withSchedulers: false,
  });
  const caller = new Caller({
    origins: [fleet.entryOrigin('levis-vm-1')],
    key: TEST_CALLER_KEY,
  });
  try {
    await storeContract(fleet.platformPort);
    await fleet.waitUntilReady();
    while ((await caller.call()).outcome !== 'ran');
    const started = (await fleet.targetsControl())['requests'] as number;
    const long = caller.call({workMs: 20_000, timeoutMs: 30_000});
    while ((await fleet.targetsControl())['requests'] === started);
    const entry = fleet.process('entry', 'levis-vm-1');
    entry.signal('SIGTERM');
    const origin = fleet.entryOrigin('levis-vm-1');
    while ((await fetch(`${origin}/readyz`)).status !== 503);
    assert.equal(await entry.terminate(), 1);
    assert.equal((await long).outcome, 'no-answer');
    const log = readFileSync(`${FOLDER}/entry-levis-vm-1.log`, 'utf8');
    assert.match(log, /SIGTERM again: .* cut off: [0-9a-f-]{36} \(sent\)/);
  } finally {
    await caller.stop();
    await fleet.stop();
  }
});
