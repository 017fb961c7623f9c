import {Agent, request} from 'undici';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** Base addresses of entries, tried in this order. */
  addresses: readonly string[];
  token: string;
  /** Longest wait in ms for one entry. @default 6000 */
  timeoutMs?: number;
}

/** A call to any entry. */
export interface OperatorRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /**
   * Tries the next entry also after NOT_FOUND, for state that only one entry
   * has. @default false
   */
  asksAll?: boolean;
}

/** Body of an answer; each has the result code's number. */
export type OperatorAnswer = Record<string, unknown> & {code: number};

const CODES_BY_NUMBER = new Map<number, ResultCode>(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

// Refusals for which another entry may accept the same call.
const OTHER_ENTRY_MAY_ACCEPT = new Set<ResultCode>([
  ResultCodes.STOPPING,
  ResultCodes.NOT_READY,
  ResultCodes.PLATFORM_UNAVAILABLE,
]);

// Errors that occur before the first byte of a request is sent.
const NOT_SENT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Calls the operators' HTTP interface. A change is never sent to a second
 * entry after the first one may have received it.
 */
export class OperatorClient {
  private readonly agent: Agent;

  constructor(private readonly options: OperatorClientOptions) {
    this.agent = new Agent({connect: {timeout: 2000}});
  }

  /**
   * Calls the first entry that can answer.
   *
   * @throws ResultError with the code of the answer; CHANGE_IN_DOUBT if the
   *     answer to a change was lost; NO_OWNER if no entry can be reached.
   */
  async call(given: OperatorRequest): Promise<OperatorAnswer> {
    let failure: ResultError | undefined;
    for (const address of this.options.addresses) {
      try {
        return await this.callEntry(address, given);
      } catch (error) {
        failure = error as ResultError;
        const isElsewhere =
          given.asksAll && failure.code === ResultCodes.NOT_FOUND;
        const mayTryNext =
          isElsewhere ||
          failure.code === ResultCodes.NO_OWNER ||
          OTHER_ENTRY_MAY_ACCEPT.has(failure.code);
        if (!mayTryNext) throw failure;
      }
    }
    throw failure!;
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.agent.destroy();
  }

  private async callEntry(
    address: string,
    given: OperatorRequest,
  ): Promise<OperatorAnswer> {
    const {token, timeoutMs = 6000} = this.options;
    let body: OperatorAnswer;
    try {
      const answer = await request(address + given.path, {
        method: given.method,
        dispatcher: this.agent,
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
          ...given.headers,
        },
        body: given.body === undefined ? null : JSON.stringify(given.body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      body = (await answer.body.json()) as OperatorAnswer;
    } catch (error) {
      throw toResultError(address, given, error as NodeJS.ErrnoException);
    }
    const code = CODES_BY_NUMBER.get(body.code) ?? ResultCodes.INTERNAL;
    if (code.exitStatus === 0) return body;
    const text =
      typeof body['message'] === 'string' ? body['message'] : code.meaning;
    throw new ResultError(code, text, {info: body});
  }
}

function toResultError(
  address: string,
  given: OperatorRequest,
  error: NodeJS.ErrnoException,
): ResultError {
  const isHarmless =
    given.method === 'GET' || NOT_SENT_ERRORS.has(error.code ?? '');
  const code = isHarmless ? ResultCodes.NO_OWNER : ResultCodes.CHANGE_IN_DOUBT;
  const text = isHarmless
    ? `Cannot reach entry ${address}: ${error.message}`
    : `Cannot receive the answer of ${address}: ${error.message}; show the current state before repeating`;
  return new ResultError(code, text, {cause: error});
}
