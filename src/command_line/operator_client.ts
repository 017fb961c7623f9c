import {Agent, request} from 'undici';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** Base addresses of entries, tried in this order. */
  addresses: readonly string[];
  token: string;
  /**
   * Longest wait in ms for one entry; longer than the time in which an entry
   * resolves a write in doubt. @default 8000
   */
  timeoutMs?: number;
}

/** A request that any entry can handle. */
export interface OperatorRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /**
   * Also tries the next entry after NOT_FOUND, for state that only one entry
   * has. @default false
   */
  triesAllEntries?: boolean;
}

/** Body of a response; `code` is the number of the result code. */
export type OperatorResponse = Record<string, unknown> & {code: number};

const CODES_BY_NUMBER = new Map<number, ResultCode>(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

// Result codes after which another entry may accept the same request.
const FAILOVER_CODES = new Set<ResultCode>([
  ResultCodes.STOPPING,
  ResultCodes.NOT_READY,
  ResultCodes.PLATFORM_UNAVAILABLE,
]);

// Errors that occur before the first byte of a request is sent.
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Client of the operators' HTTP interface. A change is never sent to a second
 * entry if the first one may have received it.
 */
export class OperatorClient {
  private readonly agent: Agent;

  constructor(private readonly options: OperatorClientOptions) {
    this.agent = new Agent({connect: {timeout: 2000}});
  }

  /**
   * Sends a request to the first entry that can handle it.
   *
   * @throws ResultError with the code of the response; CHANGE_IN_DOUBT if the
   *     response to a change was lost; NO_OWNER if no entry can be reached.
   */
  async call(operatorRequest: OperatorRequest): Promise<OperatorResponse> {
    let failure: ResultError | undefined;
    for (const address of this.options.addresses) {
      try {
        return await this.callEntry(address, operatorRequest);
      } catch (error) {
        failure = error as ResultError;
        const mayBeOnOtherEntry =
          operatorRequest.triesAllEntries &&
          failure.code === ResultCodes.NOT_FOUND;
        const mayTryNext =
          mayBeOnOtherEntry ||
          failure.code === ResultCodes.NO_OWNER ||
          FAILOVER_CODES.has(failure.code);
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
    operatorRequest: OperatorRequest,
  ): Promise<OperatorResponse> {
    const {token, timeoutMs = 8000} = this.options;
    let body: OperatorResponse;
    try {
      const response = await request(address + operatorRequest.path, {
        method: operatorRequest.method,
        dispatcher: this.agent,
        headers: {
          authorization: `Bearer ${token}`,
          'content-type': 'application/json',
          ...operatorRequest.headers,
        },
        body:
          operatorRequest.body === undefined
            ? null
            : JSON.stringify(operatorRequest.body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      body = (await response.body.json()) as OperatorResponse;
    } catch (error) {
      throw toResultError(
        address,
        operatorRequest,
        error as NodeJS.ErrnoException,
      );
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
  operatorRequest: OperatorRequest,
  error: NodeJS.ErrnoException,
): ResultError {
  const cannotHaveChanged =
    operatorRequest.method === 'GET' ||
    CONNECT_ERROR_CODES.has(error.code ?? '');
  const code = cannotHaveChanged
    ? ResultCodes.NO_OWNER
    : ResultCodes.CHANGE_IN_DOUBT;
  const text = cannotHaveChanged
    ? `Cannot reach entry ${address}: ${error.message}`
    : `Cannot receive the response of ${address}: ${error.message}; check the current state before retrying`;
  return new ResultError(code, text, {cause: error});
}
