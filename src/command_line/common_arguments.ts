import {readFileSync} from 'node:fs';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {OperatorClient} from './operator_client.js';
import {ProgramContext} from './program_context.js';

/** Arguments of all commands that call an entry. */
export const CLIENT_ARGUMENTS = {
  address: {
    type: 'string',
    valueHint: 'URL,URL',
    description: 'Entries to call, tried in this order (or BANYANMUX_ADDRESS)',
  },
  'token-file': {
    type: 'string',
    valueHint: 'FILE',
    description: 'File with the operator token (or BANYANMUX_TOKEN)',
  },
  json: {
    type: 'boolean',
    default: false,
    description: 'Print JSON instead of a table',
  },
} as const;

/** Arguments of all commands that change something. */
export const CHANGE_ARGUMENTS = {
  'dry-run': {
    type: 'boolean',
    default: false,
    description: 'Check everything and change nothing',
  },
  reason: {
    type: 'string',
    default: '',
    valueHint: 'TEXT',
    description: 'Reason that the history shows',
  },
  ...CLIENT_ARGUMENTS,
} as const;

/** Parsed values of {@link CLIENT_ARGUMENTS}. */
export interface ClientArguments {
  address?: string;
  'token-file'?: string;
}

/**
 * Creates a client from arguments and environment variables.
 *
 * @throws ResultError BAD_REQUEST if address or token is missing.
 */
export function createClient(
  parsedArguments: ClientArguments,
  context: ProgramContext,
): OperatorClient {
  const {environment} = context;
  const list =
    parsedArguments.address ?? environment['BANYANMUX_ADDRESS'] ?? '';
  const addresses = list
    .split(',')
    .map((address) => address.trim().replace(/\/$/, ''))
    .filter((address) => address !== '')
    .map((address) =>
      address.includes('://') ? address : `http://${address}`,
    );
  if (addresses.length === 0) {
    throw usageError('--address: given nothing; allowed: URLs of entries');
  }
  const file = parsedArguments['token-file'];
  const token = file ? readTokenFile(file) : environment['BANYANMUX_TOKEN'];
  if (!token?.trim()) {
    throw usageError('--token-file: given nothing; allowed: a file');
  }
  return new OperatorClient({addresses, token: token.trim()});
}

/** Builds the query string of a request that makes a change. */
export function buildChangeQuery(parsedArguments: {
  'dry-run': boolean;
  reason: string;
}): string {
  const query = new URLSearchParams();
  if (parsedArguments['dry-run']) query.set('dryRun', 'true');
  if (parsedArguments.reason) query.set('reason', parsedArguments.reason);
  return query.size > 0 ? `?${query.toString()}` : '';
}

/** Creates the error for missing or invalid command-line arguments. */
export function usageError(text: string): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot run command: ${text}`,
  );
}

function readTokenFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw usageError(`--token-file: ${(error as Error).message}`);
  }
}
