import {ServerResponse} from 'node:http';

import {ResultCode} from '../result_codes/result_code.js';

/** Response header with the number of the result code. */
export const CODE_HEADER = 'banyanmux-code';

/** Response header with the outcome, that is, whether the request ran. */
export const OUTCOME_HEADER = 'banyanmux-outcome';

/** Header with the request ID, as used in logs and by `banyanmux why`. */
export const REQUEST_ID_HEADER = 'banyanmux-request-id';

/** Request header with the time in ms until the deadline. */
export const TIMEOUT_HEADER = 'banyanmux-timeout-ms';

/** Response header with the recommended delay in ms before a retry. */
export const RETRY_AFTER_HEADER = 'banyanmux-retry-after-ms';

/** Result that a caller receives if there is no response of a target. */
export interface CallerResult {
  code: ResultCode;
  text: string;
  /** HTTP status. @default the status of the result code */
  status?: number;
  /** Recommended delay in ms before a retry. @default none */
  retryAfterMs?: number;
}

/** Returns the headers that each response contains. */
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

/** Sends a result as JSON, or closes the connection if headers were sent. */
export function writeResult(
  response: ServerResponse,
  requestId: string,
  result: CallerResult,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {code, text, retryAfterMs, status = code.httpStatus} = result;
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
  response.writeHead(status, headers);
  response.end(body);
}
