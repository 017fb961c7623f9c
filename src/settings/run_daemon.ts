import {readFileSync} from 'node:fs';

import {CommandDef, defineCommand, runMain} from 'citty';
import {z} from 'zod';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {readSettings} from './read_settings.js';

/** Options of {@link runDaemon}. */
export interface DaemonOptions<T> {
  /** Name of the program. */
  name: string;
  /** One-line description for `--help`. */
  description: string;
  /** Schema of the settings file. */
  schema: z.ZodType<T>;
  /** Runs the program with validated settings. */
  run: (settings: T) => Promise<void>;
  /** Further commands by name. @default none */
  commands?: Readonly<Record<string, CommandDef>>;
}

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

/**
 * Runs an action. If it fails, prints the error and exits with the exit status
 * of its result code.
 */
async function exitOnError(action: () => Promise<void>): Promise<void> {
  try {
    await action();
  } catch (error) {
    const known = error instanceof ResultError ? error : undefined;
    const text = known?.message ?? String((error as Error).stack);
    process.stderr.write(`${text}\n`);
    process.exit((known?.code ?? ResultCodes.INTERNAL).exitStatus);
  }
}

/** Returns commands that exit with the exit status of their error. */
function withExitStatus(
  commands: Readonly<Record<string, CommandDef>>,
): Record<string, CommandDef> {
  const wrapped = Object.entries(commands).map(([name, command]) => [
    name,
    defineCommand({
      ...command,
      run: (context) =>
        exitOnError(async () => {
          await command.run?.(context);
        }),
    }),
  ]);
  return Object.fromEntries(wrapped) as Record<string, CommandDef>;
}

/**
 * Runs the command line of a daemon, with the commands `run` (the default),
 * `check-settings` and those of the options.
 */
export async function runDaemon<T>(options: DaemonOptions<T>): Promise<void> {
  const {name, description, schema} = options;
  const checkSettings = defineCommand({
    meta: {name: 'check-settings', description: 'Check a settings file'},
    args: settingsArgument,
    run: ({args}) =>
      exitOnError(() => {
        readSettings(args.settings, schema);
        process.stdout.write(`${args.settings}: valid\n`);
        return Promise.resolve();
      }),
  });
  const run = defineCommand({
    meta: {name: 'run', description: 'Run the program (the default)'},
    args: settingsArgument,
    run: ({args}) =>
      exitOnError(() => options.run(readSettings(args.settings, schema))),
  });
  await runMain(
    defineCommand({
      meta: {name, version, description},
      // Allows --settings without a command, which selects the default command.
      args: {settings: {...settingsArgument.settings, required: false}},
      default: 'run',
      subCommands: {
        ...withExitStatus(options.commands ?? {}),
        run,
        'check-settings': checkSettings,
      },
    }),
  );
}
