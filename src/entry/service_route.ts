import {randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';

import {Clock} from '../clock/clock.js';
import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../contracts/configuration_view.js';
import {URGENCIES, Urgency} from '../contracts/urgency.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  authenticate,
  invalidHeader,
  readIdempotencyKey,
  readTimeout,
} from './request_head.js';
import {CallerResponse} from './caller_response.js';
import {EntryMetrics} from './entry_metrics.js';
import {EntryLimits} from './entry_settings.js';
import {requestHeaders} from './http_headers.js';
import {KeyedCall, KeyedCallRunner} from './keyed_call_runner.js';
import {RequestBody} from './request_body.js';
import {writeResult} from './result_headers.js';
import {ServiceCall} from './service_call.js';
import {ServiceCallEnd} from './service_call_end.js';
import {ServiceRouter} from './service_router.js';
import {toResultError} from './to_result_error.js';

/** Options of {@link ServiceRoute}. */
export interface ServiceRouteOptions {
  configuration: ConfigurationView;
  router: ServiceRouter;
  /** Runs non-idempotent requests. */
  keyedCalls: KeyedCallRunner;
  metrics: EntryMetrics;
  clock: Clock;
  limits: EntryLimits;
  /**
   * Returns why requests are refused now, or undefined if they are accepted.
   */
  refusal: () => {code: ResultCode; text: string} | undefined;
}

/** Validated head of a request. */
interface CheckedHead {
  caller: AuthenticatedCaller;
  service: string;
  path: string;
  urgency: Urgency;
  timeoutMs: number;
  isIdempotent: boolean;
  key: string | undefined;
}

/** Path prefix of the services. */
export const SERVICES_PATH = '/v1/services/';

/** Handles `ANY /v1/services/<service>/<path>`. */
export class ServiceRoute {
  constructor(private readonly options: ServiceRouteOptions) {}

  /** Handles one request. Never rejects. */
  async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock, metrics} = this.options;
    const requestId = randomUUID();
    const arrivedMs = clock.nowMs();
    let head: CheckedHead | undefined;
    let code: ResultCode;
    try {
      head = this.checkHead(message);
      code = await this.serve({message, response, requestId, arrivedMs}, head);
    } catch (error) {
      const resultError = toResultError(error);
      code = resultError.code;
      writeResult(response, requestId, {
        code,
        text: resultError.message,
        retryAfterMs: resultError.retryAfterMs,
      });
    }
    metrics.record({
      service: head?.service ?? 'none',
      customer: head?.caller.contract.customer ?? 'none',
      urgency: head?.urgency ?? 'none',
      code,
      latencyMs: clock.nowMs() - arrivedMs,
    });
  }

  private checkHead(message: IncomingMessage): CheckedHead {
    const refusal = this.options.refusal();
    if (refusal) throw new ResultError(refusal.code, refusal.text);
    const caller = authenticate(message, this.options.configuration);
    const {service, path} = splitServicePath(message.url ?? '');
    if (!caller.contract.services.includes(service)) {
      throw new ResultError(
        ResultCodes.FORBIDDEN,
        `Cannot use service "${service}": the contract of customer "${caller.contract.customer}" does not include it`,
      );
    }
    const urgency = readUrgency(message);
    const timeoutMs = readTimeout(message, {
      defaultMs: caller.contract.urgencies[urgency].timeoutMs,
      longestMs: this.options.limits.timeoutMs,
    });
    const isIdempotent = readIdempotent(message);
    const key = readIdempotencyKey(message);
    if (!isIdempotent && key === undefined) {
      throw new ResultError(
        ResultCodes.KEY_REQUIRED,
        'Cannot accept non-idempotent request: header "idempotency-key" is missing',
      );
    }
    return {caller, service, path, urgency, timeoutMs, isIdempotent, key};
  }

  private async serve(
    request: {
      message: IncomingMessage;
      response: ServerResponse;
      requestId: string;
      arrivedMs: number;
    },
    head: CheckedHead,
  ): Promise<ResultCode> {
    const {message, response, requestId, arrivedMs} = request;
    const {limits, router, keyedCalls} = this.options;
    const disconnected = new AbortController();
    response.on('close', () => disconnected.abort());
    const body = await RequestBody.read(message, {
      replayBytes: limits.replayBytes,
      maxBytes: limits.bodyBytes,
      timeoutMs: Math.min(limits.bodyTimeoutMs, head.timeoutMs),
    });
    const callerResponse = new CallerResponse(response, {requestId});
    const {contract, caller} = head.caller;
    const deadlineMs = arrivedMs + head.timeoutMs;
    const create = (keyed?: KeyedCall): ServiceCall =>
      new ServiceCall({
        waiting: {
          requestId,
          customer: contract.customer,
          caller,
          service: head.service,
          urgency: head.urgency,
          arrivedMs,
          deadlineMs,
        },
        method: message.method ?? 'GET',
        path: head.path,
        headers: headersOf(message, body),
        body,
        callerResponse,
        isIdempotent: head.isIdempotent,
        signal: disconnected.signal,
        acquireClaim: keyed && ((): Promise<boolean> => keyed.acquireClaim()),
      });
    if (head.isIdempotent || head.key === undefined) {
      return this.finish(callerResponse, await router.submit(create()));
    }
    const end = await keyedCalls.run(
      {
        customer: contract.customer,
        caller,
        key: head.key,
        requestId,
        deadlineMs,
        content: {
          method: message.method,
          path: message.url,
          body: body.buffered,
        },
      },
      (keyed) => router.submit(create(keyed)),
    );
    if (end.replayed) {
      callerResponse.replay(end.replayed, end.code);
      return end.code;
    }
    return this.finish(callerResponse, end);
  }

  private finish(
    callerResponse: CallerResponse,
    end: ServiceCallEnd,
  ): ResultCode {
    if (end.code !== ResultCodes.OK) callerResponse.fail(end);
    return end.code;
  }
}

function readUrgency(message: IncomingMessage): Urgency {
  const value = message.headers['banyanmux-urgency'];
  if (value === undefined) return Urgency.STANDARD;
  const urgency = URGENCIES.find((known) => known === value);
  if (urgency) return urgency;
  throw invalidHeader('banyanmux-urgency', value, URGENCIES.join(', '));
}

function readIdempotent(message: IncomingMessage): boolean {
  const value = message.headers['banyanmux-idempotent'] ?? 'true';
  if (value === 'true' || value === 'false') return value === 'true';
  throw invalidHeader('banyanmux-idempotent', value, 'true, false');
}

function headersOf(
  message: IncomingMessage,
  body: RequestBody,
): Record<string, string | string[]> {
  const headers = requestHeaders(message.headers);
  const length = message.headers['content-length'];
  const isStreamed = body.buffered === undefined && length !== undefined;
  return isStreamed ? {...headers, 'content-length': length} : headers;
}

function splitServicePath(url: string): {service: string; path: string} {
  const rest = url.slice(SERVICES_PATH.length);
  const end = rest.search(/[/?]/);
  const service = end < 0 ? rest : rest.slice(0, end);
  const tail = end < 0 ? '/' : rest.slice(end);
  const path = tail.startsWith('/') ? tail : `/${tail}`;
  if (isReservedPath(path)) {
    throw new ResultError(
      ResultCodes.FORBIDDEN,
      `Cannot use path "${path}": paths under "/-/" are reserved for the executor`,
    );
  }
  return {service, path};
}

/**
 * Returns whether a path is reserved for the executor, even if it is disguised
 * by dot segments, repeated slashes or up to three levels of percent-encoding.
 */
function isReservedPath(path: string): boolean {
  let pathname = path.split('?')[0]!.replace(/\/+/g, '/');
  for (let round = 0; round < 3; round++) {
    pathname = new URL(pathname, 'http://target').pathname.replace(/\/+/g, '/');
    if (pathname === '/-' || pathname.startsWith('/-/')) return true;
    try {
      pathname = decodeURIComponent(pathname).replace(/[\\/]+/g, '/');
    } catch {
      return false;
    }
    if (!pathname.startsWith('/')) pathname = `/${pathname}`;
  }
  return pathname.startsWith('/-/');
}
