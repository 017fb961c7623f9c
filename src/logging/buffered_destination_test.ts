import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {closeSync, mkdtempSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, test} from 'node:test';

import {sleep} from '../clock/sleep.js';
import {createBufferedDestination} from './buffered_destination.js';

const folder = mkdtempSync(join(tmpdir(), 'banyanmux-log-'));
after(() => rmSync(folder, {recursive: true}));

const MODULE = new URL('./buffered_destination.js', import.meta.url).href;

test('a line is written soon, also if no other follows', async () => {
  // Guards against a log whose last lines are missing while the process is idle.
  const file = join(folder, 'idle.log');
  const descriptor = openSync(file, 'a');
  const destination = createBufferedDestination(descriptor);
  destination.write('first\n');
  destination.write('second\n');
  await sleep(400);
  assert.equal(readFileSync(file, 'utf8'), 'first\nsecond\n');
  destination.write('third\n');
  await sleep(400);
  assert.equal(readFileSync(file, 'utf8'), 'first\nsecond\nthird\n');
  closeSync(descriptor);
});

for (const ending of ['process.exit(1)', "throw new Error('x')", '']) {
  test(`lines are written when the process ends by "${ending}"`, () => {
    // Guards against the loss of the lines that tell why a process ended.
    const source = `
      const {createBufferedDestination} = await import('${MODULE}');
      createBufferedDestination(1).write('last\\n');
      ${ending}`;
    const {stdout} = spawnSync(
      process.execPath,
      ['--input-type=module', '--eval', source],
      {encoding: 'utf8'},
    );
    assert.equal(stdout, 'last\n');
  });
}
