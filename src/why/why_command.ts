import {CommandDef, defineCommand} from 'citty';
import {request} from 'undici';

import {WhyResponse} from '../node/why_response.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {formatExplanation} from './format_explanation.js';
import {formatJobLife} from './format_job_life.js';
import {describeJobLife} from './job_life.js';
import {readJobLogLines} from './read_log_lines.js';

/** Where the command writes to; replaced in tests. */
export interface WhyCommandOptions {
  /** Writes to standard output. */
  write: (text: string) => void;
}

/** Longest wait in ms for a node, which may ask the owner first. */
const TIMEOUT_MS = 5000;

/** Ids of jobs as callers see them. */
const JOB_ID = /^[\w-]+$/;

/**
 * Creates the command that explains why a job waits or how it failed: with
 * `--address` by the owner of its partition, with `--logs` from log files.
 */
export function whyCommand({write}: WhyCommandOptions): CommandDef {
  return defineCommand({
    meta: {
      name: 'why',
      description: 'Explain why a job waits, runs or has failed',
    },
    args: {
      id: {type: 'positional', required: true, description: 'Id of the job'},
      address: {
        type: 'string',
        valueHint: 'HOST:PORT',
        description: 'Metrics address of any node',
      },
      logs: {
        type: 'string',
        valueHint: 'FILE...',
        description: 'Logs of all nodes; further files may follow',
      },
      json: {type: 'boolean', default: false, description: 'Print JSON'},
    },
    run: async ({args}) => {
      const {id, address, logs, json} = args;
      if (!JOB_ID.test(id)) throw usageError(`id: given "${id}"`);
      if (address !== undefined) write(await explainLive(id, address, json));
      else if (logs !== undefined) {
        const files = [logs, ...args._.slice(1)];
        write(await explainFromLogs(id, files, json));
      } else throw usageError('allowed: --address or --logs');
    },
  }) as CommandDef;
}

async function explainLive(
  id: string,
  address: string,
  isJson: boolean,
): Promise<string> {
  let explained: WhyResponse;
  try {
    const response = await request(`http://${address}/why/${id}`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    explained = (await response.body.json()) as WhyResponse;
  } catch (error) {
    const {message} = error as Error;
    throw new ResultError(
      ResultCodes.NO_OWNER,
      `Cannot ask ${address}: ${message}`,
    );
  }
  return isJson ? toJson(explained) : formatExplanation(explained);
}

async function explainFromLogs(
  id: string,
  files: readonly string[],
  isJson: boolean,
): Promise<string> {
  const {lines, unreadable} = await readLogs(id, files);
  const life = describeJobLife(lines, id);
  if (isJson) return toJson(life);
  if (life.length === 0) {
    return `No line names ${id}: it was never accepted, or its lines were left out.\n`;
  }
  const note = unreadable > 0 ? `${unreadable} lines could not be read.\n` : '';
  return formatJobLife(life) + note;
}

async function readLogs(
  id: string,
  files: readonly string[],
): ReturnType<typeof readJobLogLines> {
  try {
    return await readJobLogLines(files, id);
  } catch (error) {
    throw usageError(`--logs: ${(error as Error).message}`);
  }
}

function toJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}

function usageError(text: string): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot explain a job: ${text}`,
  );
}
