import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';

import {Fleet, OPERATOR_TOKEN} from '../../testing/fleet.js';
import {sleep} from '../clock/sleep.js';
import {runProgram} from './run_program.js';

const PROPAGATION_LIMIT_MS = 4000;

const dataCentreSize = {
  entryVms: 2,
  targets: 1,
  racks: 0,
  workersPerRack: 0,
};

test('a change reaches all entry processes and survives a restart in an outage', async (context) => {
  // Guards against operator routes that the entry does not register, changes
  // that do not reach other data centres over links, and an entry that cannot
  // start while the platform is down.
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-'));
  const tokenHash = createHash('sha256').update(OPERATOR_TOKEN).digest('hex');
  const operators = [{name: 'ana', role: 'change', tokenHash}];
  const fleet = await Fleet.start({
    dataCentres: [
      {...dataCentreSize, name: 'a'},
      {...dataCentreSize, name: 'b'},
    ],
    folder,
    withSchedulers: false,
    entrySettings: {entry: {operators}},
  });
  context.after(async () => {
    await fleet.stop();
    rmSync(folder, {recursive: true});
  });
  await fleet.waitUntilReady();
  const run = async (
    commandLine: string[],
    entryName: string,
  ): Promise<string> => {
    let output = '';
    const write = (text: string): void => void (output += text);
    const address = fleet.entryOrigin(entryName);
    const environment = {
      BANYANMUX_ADDRESS: address,
      BANYANMUX_TOKEN: OPERATOR_TOKEN,
    };
    const options = {version: '1', environment, write, writeError: write};
    await runProgram(commandLine, options);
    return output;
  };
  const listsAcme = async (entryName: string): Promise<boolean> =>
    (await run(['contract', 'list'], entryName)).includes('acme');
  const members = fleet.members.map(({member}) => member);
  const file = join(folder, 'contract.jsonc');
  const callers = [{name: 'portal', keyHash: 'a'.repeat(64)}];
  writeFileSync(file, JSON.stringify({customer: 'acme', callers}));
  const created = await run(['contract', 'create', file], members[0]!);
  assert.match(created, /create accepted/);
  const acceptedMs = performance.now();
  for (const entryName of members) {
    while (!(await listsAcme(entryName))) {
      const tookMs = performance.now() - acceptedMs;
      assert.ok(tookMs < PROPAGATION_LIMIT_MS, `not in effect at ${entryName}`);
      await sleep(20);
    }
  }
  context.diagnostic(
    `in effect everywhere after ${Math.round(performance.now() - acceptedMs)} ms`,
  );
  await fleet.setPlatformFaults({down: true});
  const restarted = members.at(-1)!;
  await fleet.process('entry', restarted).kill();
  fleet.startMember(restarted);
  await fleet.waitUntilReady([restarted]);
  assert.equal(await listsAcme(restarted), true);
  const shown = await run(
    ['contract', 'show', 'acme', '--in-force'],
    restarted,
  );
  assert.match(shown, /"customer": "acme"/);
  const refused = await run(['stop', 'plan', 'vm-1'], restarted);
  assert.match(refused, /PLATFORM_UNAVAILABLE|CHANGE_IN_DOUBT/);
});
