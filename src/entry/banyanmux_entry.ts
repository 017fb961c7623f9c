#!/usr/bin/env node
import {runDaemon} from '../settings/run_daemon.js';
import {runEntry} from './entry_program.js';
import {entrySettingsSchema} from './entry_settings.js';

await runDaemon({
  name: 'banyanmux-entry',
  description: 'HTTP entry for callers and operators',
  schema: entrySettingsSchema,
  run: runEntry,
});
