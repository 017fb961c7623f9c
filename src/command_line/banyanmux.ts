#!/usr/bin/env node
import {readFileSync} from 'node:fs';

import {runProgram} from './run_program.js';

const {version} = JSON.parse(
  readFileSync(new URL('../../../package.json', import.meta.url), 'utf8'),
) as {version: string};

process.exitCode = await runProgram(process.argv.slice(2), {
  version,
  environment: process.env,
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
