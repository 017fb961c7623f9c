import VError from 'verror';

import {ResultCode} from './result_code.js';

/** Options of {@link ResultError}. */
export interface ResultErrorOptions {
  /** Error that led to this one. @default none */
  cause?: Error;
  /** Time in ms after which the request should be retried. @default none */
  retryAfterMs?: number;
  /** Additional fields for logs and JSON responses. @default {} */
  info?: Record<string, unknown>;
}

/** Error with a result code, safe to report to clients and operators. */
export class ResultError extends VError {
  readonly code: ResultCode;
  readonly retryAfterMs: number | undefined;

  /**
   * @param code - Result code.
   * @param text - Message of the form "Cannot do X: reason".
   */
  constructor(
    code: ResultCode,
    text: string,
    options: ResultErrorOptions = {},
  ) {
    super({cause: options.cause, info: options.info ?? {}}, '%s', text);
    this.name = 'ResultError';
    this.code = code;
    this.retryAfterMs = options.retryAfterMs;
  }
}
