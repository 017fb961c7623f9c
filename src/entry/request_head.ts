import {IncomingMessage} from 'node:http';

import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../contracts/configuration_view.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {TIMEOUT_HEADER} from './result_headers.js';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
const IDEMPOTENCY_KEY = /^[\x20-\x7e]{1,255}$/;

/**
 * Authenticates the caller by the bearer key of a request.
 *
 * @throws ResultError UNAUTHENTICATED
 */
export function authenticate(
  message: IncomingMessage,
  configuration: ConfigurationView,
): AuthenticatedCaller {
  const match = BEARER.exec(message.headers.authorization ?? '');
  const caller = match && configuration.authenticate(match[1]!);
  if (caller) return caller;
  throw new ResultError(
    ResultCodes.UNAUTHENTICATED,
    'Cannot authenticate: header "authorization" contains no known key',
  );
}

/**
 * Reads the timeout that a caller requests.
 *
 * @param limits - Default timeout and longest permitted timeout, in ms.
 * @throws ResultError BAD_REQUEST
 */
export function readTimeout(
  message: IncomingMessage,
  limits: {defaultMs: number; longestMs: number},
): number {
  const text = message.headers[TIMEOUT_HEADER];
  if (text === undefined) return limits.defaultMs;
  const value = Number(text);
  const isValid =
    /^[0-9]{1,10}$/.test(String(text)) &&
    value >= 1 &&
    value <= limits.longestMs;
  if (isValid) return value;
  throw invalidHeader(TIMEOUT_HEADER, text, `1 to ${limits.longestMs}`);
}

/**
 * Reads the idempotency key, if there is one.
 *
 * @throws ResultError BAD_REQUEST
 */
export function readIdempotencyKey(
  message: IncomingMessage,
): string | undefined {
  const value = message.headers['idempotency-key'];
  if (value === undefined) return undefined;
  if (typeof value === 'string' && IDEMPOTENCY_KEY.test(value)) return value;
  throw invalidHeader('idempotency-key', value, '1 to 255 visible characters');
}

/** Creates the error for a header with an invalid value. */
export function invalidHeader(
  name: string,
  value: string | string[] | undefined,
  allowed: string,
): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot read header "${name}": given "${String(value)}"; allowed: ${allowed}`,
  );
}
