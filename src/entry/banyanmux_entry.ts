#!/usr/bin/env node
import {readFileSync} from 'node:fs';

import {defineCommand, runMain} from 'citty';

import {ResultError} from '../result_codes/result_error.js';
import {readSettings} from '../settings/read_settings.js';
import {runEntry} from './entry_program.js';
import {entrySettingsSchema} from './entry_settings.js';

const {version} = JSON.parse(
  readFileSync(new URL('../../../package.json', import.meta.url), 'utf8'),
) as {version: string};

const settingsArgument = {
  settings: {
    type: 'string',
    description: 'File of JSON with comments',
    required: true,
    valueHint: 'file',
  },
} as const;

/** Ends with the exit status of the error's code. */
async function reportErrors(action: () => Promise<void>): Promise<void> {
  try {
    await action();
  } catch (error) {
    const isKnown = error instanceof ResultError;
    process.stderr.write(
      `${isKnown ? error.message : String((error as Error).stack)}\n`,
    );
    process.exit(isKnown ? error.code.exitStatus : 70);
  }
}

const checkSettings = defineCommand({
  meta: {name: 'check-settings', description: 'Check a settings file'},
  args: settingsArgument,
  run: ({args}) =>
    reportErrors(() => {
      readSettings(args.settings, entrySettingsSchema);
      process.stdout.write(`${args.settings}: valid\n`);
      return Promise.resolve();
    }),
});

const run = defineCommand({
  meta: {name: 'run', description: 'Run the entry (the default)'},
  args: settingsArgument,
  run: ({args}) =>
    reportErrors(() =>
      runEntry(readSettings(args.settings, entrySettingsSchema)),
    ),
});

await runMain(
  defineCommand({
    meta: {
      name: 'banyanmux-entry',
      version,
      description: 'HTTP entry for callers and operators',
    },
    // Lets the default command take --settings without being named.
    args: {settings: {...settingsArgument.settings, required: false}},
    default: 'run',
    subCommands: {run, 'check-settings': checkSettings},
  }),
);
