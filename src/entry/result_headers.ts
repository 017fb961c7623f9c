import {ServerResponse} from 'node:http';

import {ResultCode} from '../result_codes/result_code.js';

/** Header with the number of the result code. */
export const CODE_HEADER = 'banyanmux-code';

/** Header that tells whether the work ran. */
export const OUTCOME_HEADER = 'banyanmux-outcome';

/** Header that names the request in logs and for `banyanmux why`. */
export const REQUEST_ID_HEADER = 'banyanmux-request-id';

/** Header with the time in ms left to answer. */
export const TIMEOUT_HEADER = 'banyanmux-timeout-ms';

/** Header with the time in ms after which a repeat is sensible. */
export const RETRY_AFTER_HEADER = 'banyanmux-retry-after-ms';

/** What a caller is told about a request without a target's answer. */
export interface CallerResult {
  code: ResultCode;
  text: string;
  /** Time in ms after which a repeat is sensible. @default none */
  retryAfterMs?: number;
}

/** Headers that each answer carries. */
export function resultHeaders(
  code: ResultCode,
  requestId: string,
): Record<string, string> {
  return {
    [CODE_HEADER]: String(code.number),
    [OUTCOME_HEADER]: code.outcome,
    [REQUEST_ID_HEADER]: requestId,
  };
}

/** Answers with a result as JSON; closes the connection if a head was sent. */
export function writeResult(
  response: ServerResponse,
  requestId: string,
  result: CallerResult,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {code, text, retryAfterMs} = result;
  const headers: Record<string, string> = {
    ...resultHeaders(code, requestId),
    'content-type': 'application/json',
  };
  if (retryAfterMs !== undefined) {
    headers[RETRY_AFTER_HEADER] = String(Math.ceil(retryAfterMs));
    headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  }
  const body = JSON.stringify({
    code: code.number,
    name: code.name,
    outcome: code.outcome,
    meaning: code.meaning,
    message: text,
    requestId,
    retryAfterMs,
  });
  headers['content-length'] = String(Buffer.byteLength(body));
  response.writeHead(code.httpStatus, headers);
  response.end(body);
}
