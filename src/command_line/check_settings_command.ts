import {CommandDef, defineCommand} from 'citty';
import {z} from 'zod';

import {contractSchema} from '../contracts/contract.js';
import {entrySettingsSchema} from '../entry/entry_settings.js';
import {readSettings} from '../settings/read_settings.js';
import {schedulerSettingsSchema} from '../scheduler/scheduler_settings.js';
import {usageError} from './common_arguments.js';
import {ProgramContext} from './program_context.js';

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  entry: entrySettingsSchema,
  scheduler: schedulerSettingsSchema,
  contract: contractSchema,
};

/** Creates the command that validates a file without calling an entry. */
export function checkSettingsCommand(context: ProgramContext): CommandDef {
  return defineCommand({
    meta: {
      name: 'check-settings',
      description: 'Check a settings file or contract',
    },
    args: {
      file: {
        type: 'positional',
        required: true,
        description: 'File of JSON with comments',
      },
      kind: {
        type: 'string',
        default: 'entry',
        valueHint: 'entry|scheduler|contract',
        description: 'What the file contains',
      },
    },
    run: ({args}) => {
      const schema = SCHEMAS[args.kind];
      if (!schema) {
        const allowed = Object.keys(SCHEMAS).join(', ');
        throw usageError(`--kind: given "${args.kind}"; allowed: ${allowed}`);
      }
      readSettings(args.file, schema);
      context.write(`${args.file}: valid ${args.kind} file\n`);
    },
  }) as CommandDef;
}
