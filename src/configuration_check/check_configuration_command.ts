import {readFileSync} from 'node:fs';

import {CommandDef, defineCommand} from 'citty';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Configuration} from '../work/configuration.js';
import {compareConfigurations} from './compare_configurations.js';
import {ConfigurationFinding, FindingLevel} from './configuration_finding.js';
import {findConfigurationIssues} from './find_configuration_issues.js';

/** Options of {@link checkConfigurationCommand}. */
export interface CheckConfigurationOptions {
  /** Decodes a configuration; throws if it is not valid. */
  decode: (value: Buffer) => Configuration;
  /** Writes to standard output. */
  write: (text: string) => void;
  /** Sets the exit status: 1 with warnings, 2 with errors. */
  setExitStatus: (status: number) => void;
}

const EXIT_WARNINGS = 1;
const EXIT_ERRORS = 2;

/**
 * Creates the command that checks a configuration before it is sent: errors,
 * entries that never match, limits that contradict each other, and what differs
 * from the version in force.
 */
export function checkConfigurationCommand(
  options: CheckConfigurationOptions,
): CommandDef {
  return defineCommand({
    meta: {
      name: 'check-configuration',
      description: 'Check a configuration before it is sent',
    },
    args: {
      file: {
        type: 'positional',
        required: true,
        description: 'Configuration as operators write it to the store',
      },
      'in-force': {
        type: 'string',
        valueHint: 'FILE',
        description: 'Configuration in force, to list what would change',
      },
      json: {type: 'boolean', default: false, description: 'Print JSON'},
    },
    run: ({args}) => {
      const findings = check(options, args.file, args['in-force']);
      options.write(args.json ? toJson(findings) : toText(findings));
      options.setExitStatus(exitStatusOf(findings));
    },
  }) as CommandDef;
}

function check(
  {decode}: CheckConfigurationOptions,
  file: string,
  inForceFile: string | undefined,
): ConfigurationFinding[] {
  const inForce =
    inForceFile === undefined ? undefined : decode(read(inForceFile));
  let configuration: Configuration;
  try {
    configuration = decode(read(file));
  } catch (error) {
    if (error instanceof ResultError) throw error;
    const text = (error as Error).message;
    return [{level: FindingLevel.ERROR, place: file, text}];
  }
  const changes = inForce ? compareConfigurations(configuration, inForce) : [];
  return [...findConfigurationIssues(configuration), ...changes];
}

function read(file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (error) {
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot check a configuration: ${(error as Error).message}`,
    );
  }
}

function toJson(findings: readonly ConfigurationFinding[]): string {
  return `${JSON.stringify(findings, undefined, 2)}\n`;
}

function toText(findings: readonly ConfigurationFinding[]): string {
  if (findings.length === 0) return 'no findings\n';
  return findings
    .map(({level, place, text}) => `${level}: ${place}: ${text}\n`)
    .join('');
}

function exitStatusOf(findings: readonly ConfigurationFinding[]): number {
  const has = (wanted: FindingLevel): boolean =>
    findings.some(({level}) => level === wanted);
  if (has(FindingLevel.ERROR)) return EXIT_ERRORS;
  return has(FindingLevel.WARNING) ? EXIT_WARNINGS : 0;
}
