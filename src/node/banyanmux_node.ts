#!/usr/bin/env node
import {decodeConfiguration} from '../../platform/decode_entries.js';
import {checkConfigurationCommand} from '../configuration_check/check_configuration_command.js';
import {evacuationsCommand} from '../evacuation/evacuations_command.js';
import {runDaemon} from '../settings/run_daemon.js';
import {whyCommand} from '../why/why_command.js';
import {runNode} from './node_program.js';
import {nodeSettingsSchema} from './node_settings.js';

await runDaemon({
  name: 'banyanmux-node',
  description: 'Node of a scheduler for jobs on the workers of a platform',
  schema: nodeSettingsSchema,
  run: runNode,
  commands: {
    'check-configuration': checkConfigurationCommand({
      decode: decodeConfiguration,
      write: (text) => process.stdout.write(text),
      setExitStatus: (status) => (process.exitCode = status),
    }),
    evacuations: evacuationsCommand({
      write: (text) => process.stdout.write(text),
    }),
    why: whyCommand({write: (text) => process.stdout.write(text)}),
  },
});
