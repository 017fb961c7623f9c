import {
  ArgsDef,
  CommandDef,
  defineCommand,
  renderUsage,
  runCommand,
} from 'citty';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {checkSettingsCommand} from './check_settings_command.js';
import {usageError} from './common_arguments.js';
import {contractCommand} from './contract_command.js';
import {jobCommand, statusCommand, whyCommand} from './inspect_commands.js';
import {ProgramContext} from './program_context.js';
import {stopCommand} from './stop_command.js';

/** Options of {@link runProgram}. */
export interface RunProgramOptions extends ProgramContext {
  /** Version that `--version` prints. */
  version: string;
}

interface ResolvedCommand {
  command: CommandDef;
  parent: CommandDef | undefined;
  /** Arguments after the command names. */
  rest: string[];
}

function createProgram(options: RunProgramOptions): CommandDef {
  return defineCommand({
    meta: {
      name: 'banyanmux',
      version: options.version,
      description: 'Contracts, planned stops and state of an installation',
    },
    subCommands: {
      contract: contractCommand(options),
      stop: stopCommand(options),
      status: statusCommand(options),
      job: jobCommand(options),
      why: whyCommand(options),
      'check-settings': checkSettingsCommand(options),
    },
  });
}

function resolveCommand(
  program: CommandDef,
  commandLine: readonly string[],
): ResolvedCommand {
  let command = program;
  let parent: CommandDef | undefined;
  const rest = [...commandLine];
  for (;;) {
    const subCommands = command.subCommands as
      Record<string, CommandDef> | undefined;
    const name = rest[0] ?? '';
    if (!subCommands || !Object.hasOwn(subCommands, name)) {
      return {command, parent, rest};
    }
    const next = subCommands[name]!;
    [command, parent] = [next, command];
    rest.shift();
  }
}

/** Rejects unknown subcommands and options, such as misspelt ones. */
function rejectUnknownOptions({command, rest}: ResolvedCommand): void {
  if (command.subCommands) {
    const allowed = Object.keys(command.subCommands).join(', ');
    const givenCommand = rest[0] === undefined ? 'nothing' : `"${rest[0]}"`;
    throw usageError(`command: given ${givenCommand}; allowed: ${allowed}`);
  }
  const knownArguments = Object.entries((command.args ?? {}) as ArgsDef);
  const options = knownArguments.filter(([, {type}]) => type !== 'positional');
  const names = options.map(([name]) => `--${name}`);
  for (const argument of rest) {
    if (argument === '--') return;
    const name = argument.split('=')[0]!;
    if (argument.startsWith('-') && !names.includes(name)) {
      throw usageError(`${name}: unknown option; allowed: ${names.join(', ')}`);
    }
  }
}

function describeFailure(error: unknown): {text: string; code: ResultCode} {
  if (error instanceof ResultError) {
    return {text: error.message, code: error.code};
  }
  const {message, name, stack} = error as Error;
  // citty reports missing arguments with an error class it does not export.
  return name === 'CLIError'
    ? {text: message, code: ResultCodes.BAD_REQUEST}
    : {text: stack ?? message, code: ResultCodes.INTERNAL};
}

/**
 * Runs one command.
 *
 * @param commandLine - Arguments after the program's name.
 * @returns The exit status of the result code; 0 on success.
 */
export async function runProgram(
  commandLine: readonly string[],
  options: RunProgramOptions,
): Promise<number> {
  const program = createProgram(options);
  const resolved = resolveCommand(program, commandLine);
  if (commandLine[0] === '--version') {
    options.write(`${options.version}\n`);
    return 0;
  }
  if (
    commandLine.some((argument) => argument === '--help' || argument === '-h')
  ) {
    const usage = await renderUsage(resolved.command, resolved.parent);
    options.write(`${usage}\n`);
    return 0;
  }
  try {
    rejectUnknownOptions(resolved);
    await runCommand(resolved.command, {rawArgs: resolved.rest});
    return 0;
  } catch (error) {
    const {text, code} = describeFailure(error);
    options.writeError(`${code.name} (${code.number}): ${text}\n`);
    return code.exitStatus;
  }
}
