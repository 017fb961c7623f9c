import {Agent, Dispatcher, request} from 'undici';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  PlatformChange,
  PlatformEntry,
  PlatformService,
  PlatformWrite,
  VmEntry,
  WatchOptions,
  WriteResult,
} from './platform_service.js';

/** Options of {@link HttpPlatformService}. */
export interface HttpPlatformServiceOptions {
  /** Base address, for example `http://10.0.0.5:2400`. */
  origin: string;
  /** Longest wait in ms for the response to one call. @default 1000 */
  timeoutMs?: number;
}

interface Call {
  method: Dispatcher.HttpMethod;
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMs?: number;
  signal?: AbortSignal;
}

interface CallResponse {
  status: number;
  body: unknown;
  entityTag: string | undefined;
}

const NOT_MODIFIED_STATUS = 304;
const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;

// Codes of errors that occur before the first byte of a request is sent.
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client of the platform's HTTP interface. */
export class HttpPlatformService implements PlatformService {
  private readonly agent: Agent;
  private readonly timeoutMs: number;
  private readonly cachedVmLists = new Map<
    string,
    {entityTag: string; vms: readonly VmEntry[]}
  >();

  constructor(private readonly options: HttpPlatformServiceOptions) {
    this.timeoutMs = options.timeoutMs ?? 1000;
    this.agent = new Agent({
      connections: 16,
      pipelining: 1,
      connect: {timeout: this.timeoutMs},
      // A connection idle for longer may be dead and is not reused.
      keepAliveTimeout: 2000,
    });
  }

  async read(key: string): Promise<PlatformEntry | undefined> {
    const {status, body} = await this.call({
      method: 'GET',
      path: `/kv/${encodeURIComponent(key)}`,
    });
    return status === NOT_FOUND_STATUS ? undefined : (body as PlatformEntry);
  }

  async list(
    prefix: string,
  ): Promise<{entries: PlatformEntry[]; revision: number}> {
    const {body} = await this.call({
      method: 'GET',
      path: `/kv?prefix=${encodeURIComponent(prefix)}`,
    });
    return body as {entries: PlatformEntry[]; revision: number};
  }

  async write(write: PlatformWrite): Promise<WriteResult> {
    const {status, body} = await this.call({
      method: 'PUT',
      path: `/kv/${encodeURIComponent(write.key)}`,
      body: {
        value: write.value,
        expectedRevision: write.expectedRevision,
        timeToLiveMs: write.timeToLiveMs,
      },
    });
    return toWriteResult(status, body);
  }

  async delete(key: string, expectedRevision: number): Promise<WriteResult> {
    const {status, body} = await this.call({
      method: 'DELETE',
      path: `/kv/${encodeURIComponent(key)}?expectedRevision=${expectedRevision}`,
    });
    return toWriteResult(status, body);
  }

  async watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<{changes: PlatformChange[]; revision: number}> {
    const waitMs = options.waitMs ?? 10_000;
    const query = new URLSearchParams({
      prefix,
      since: String(options.sinceRevision),
      waitMs: String(waitMs),
    });
    const {body} = await this.call({
      method: 'GET',
      path: `/watch?${query.toString()}`,
      timeoutMs: waitMs + this.timeoutMs,
      signal: options.signal,
    });
    return body as {changes: PlatformChange[]; revision: number};
  }

  async listVms(dataCentre: string): Promise<readonly VmEntry[]> {
    const cached = this.cachedVmLists.get(dataCentre);
    const {status, body, entityTag} = await this.call({
      method: 'GET',
      path: `/vms?dataCentre=${encodeURIComponent(dataCentre)}`,
      headers: cached ? {'if-none-match': cached.entityTag} : {},
    });
    if (status === NOT_MODIFIED_STATUS && cached) return cached.vms;
    const {vms} = body as {vms: VmEntry[]};
    if (entityTag) this.cachedVmLists.set(dataCentre, {entityTag, vms});
    return vms;
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(call: Call): Promise<CallResponse> {
    const timeoutMs = call.timeoutMs ?? this.timeoutMs;
    try {
      const response = await request(this.options.origin + call.path, {
        method: call.method,
        dispatcher: this.agent,
        headers: {'content-type': 'application/json', ...call.headers},
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: call.signal,
      });
      const text = await response.body.text();
      const {statusCode} = response;
      const isExpectedStatus =
        statusCode < 300 ||
        statusCode === NOT_MODIFIED_STATUS ||
        statusCode === CONFLICT_STATUS ||
        statusCode === NOT_FOUND_STATUS;
      if (!isExpectedStatus) throw new Error(`unexpected status ${statusCode}`);
      const entityTag = response.headers['etag'];
      return {
        status: statusCode,
        body: text === '' ? {} : JSON.parse(text),
        entityTag: typeof entityTag === 'string' ? entityTag : undefined,
      };
    } catch (error) {
      throw this.toResultError(call, error as NodeJS.ErrnoException);
    }
  }

  private toResultError(call: Call, error: NodeJS.ErrnoException): ResultError {
    const isRead = call.method === 'GET';
    const wasNotSent = CONNECT_ERROR_CODES.has(error.code ?? '');
    const code =
      isRead || wasNotSent
        ? ResultCodes.PLATFORM_UNAVAILABLE
        : ResultCodes.CHANGE_IN_DOUBT;
    return new ResultError(
      code,
      `Cannot complete ${call.method} ${call.path} at the platform: ${error.message}`,
      {cause: error},
    );
  }
}

function toWriteResult(status: number, body: unknown): WriteResult {
  if (status === CONFLICT_STATUS || status === NOT_FOUND_STATUS) {
    const {current} = body as {current?: PlatformEntry | null};
    return {written: false, current: current ?? undefined};
  }
  return {written: true, revision: (body as {revision: number}).revision};
}
