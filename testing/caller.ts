import {createHash, randomUUID} from 'node:crypto';

import {Agent, request} from 'undici';

/** One service request that a {@link Caller} sends. */
export interface CallerRequest {
  /** Request body. @default '' */
  body?: string;
  /** Processing time in ms at the target. @default the target's default */
  workMs?: number;
  /** Urgency class. @default 'standard' */
  urgency?: string;
  /** Request deadline in ms after sending. @default 5000 */
  timeoutMs?: number;
  /**
   * Idempotency key; marks the request as non-idempotent.
   *
   * @default an idempotent request without a key
   */
  nonIdempotentKey?: string;
  /** Bytes of padding that the target adds to its response. @default 0 */
  responseBytes?: number;
  /** Origin of the entry to use. @default the next one in rotation */
  origin?: string;
}

/** Result of one request as the caller sees it. */
export interface CallerResult {
  /** 'ran', 'did-not-run', 'may-have-run', or 'no-answer'. */
  outcome: string;
  /** Number of the result code; 0 if there was no response. */
  code: number;
  /** HTTP status code; 0 if there was no response. */
  status: number;
  /** False if a successful response is truncated or of another request. */
  isCorrect: boolean;
  /** Time in ms from sending the request to reading the whole response. */
  latencyMs: number;
  /** Transport error; undefined if there was a response. */
  error?: string;
}

/** Options of {@link Caller}. */
export interface CallerOptions {
  /** Origins of the entries, used round-robin as by a load balancer. */
  origins: readonly string[];
  /** Caller key, sent as the bearer token. */
  key: string;
  /** Service to which requests are sent. @default 'portal' */
  service?: string;
  /** Maximum number of connections to each entry. @default 64 */
  connections?: number;
}

const NO_RESPONSE: Omit<CallerResult, 'latencyMs'> = {
  outcome: 'no-answer',
  code: 0,
  status: 0,
  isCorrect: true,
};

/**
 * HTTP client for tests: sends requests to the entries round-robin, as a load
 * balancer does, and verifies each response against its request.
 */
export class Caller {
  private readonly agent: Agent;
  private originIndex = 0;

  constructor(private readonly options: CallerOptions) {
    this.agent = new Agent({connections: options.connections ?? 64});
  }

  /** Sends a service request; a transport error gives 'no-answer'. */
  async call(input: CallerRequest = {}): Promise<CallerResult> {
    const startMs = performance.now();
    try {
      const result = await this.send(input);
      return {...result, latencyMs: performance.now() - startMs};
    } catch (error) {
      const latencyMs = performance.now() - startMs;
      return {...NO_RESPONSE, latencyMs, error: String(error)};
    }
  }

  /** Calls the job API (`/v1/jobs`) with a JSON body. */
  async callJobApi(
    method: 'GET' | 'POST' | 'DELETE',
    call: {path?: string; body?: unknown; idempotencyKey?: string},
  ): Promise<{status: number; code: number; body: Record<string, unknown>}> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.options.key}`,
      'content-type': 'application/json',
    };
    if (call.idempotencyKey) headers['idempotency-key'] = call.idempotencyKey;
    const answer = await this.sendToReachableOrigin((origin) =>
      request(`${origin}/v1/jobs${call.path ?? ''}`, {
        method,
        dispatcher: this.agent,
        headers,
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headersTimeout: 15_000,
      }),
    );
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
      code: Number(answer.headers['banyanmux-code'] ?? 0),
      body: (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>,
    };
  }

  /** Closes all connections and aborts requests in flight. */
  stop(): Promise<void> {
    return this.agent.destroy();
  }

  /**
   * Tries the next entries in rotation until one accepts the connection, each
   * at most once. Other errors are not retried.
   */
  private async sendToReachableOrigin<T>(
    send: (origin: string) => Promise<T>,
  ): Promise<T> {
    for (let attempt = 1; ; attempt++) {
      try {
        return await send(this.nextOrigin());
      } catch (error) {
        const {code} = error as NodeJS.ErrnoException;
        const isLast = attempt >= this.options.origins.length;
        if (code !== 'ECONNREFUSED' || isLast) throw error;
      }
    }
  }

  private nextOrigin(): string {
    const {origins} = this.options;
    this.originIndex = (this.originIndex + 1) % origins.length;
    return origins[this.originIndex]!;
  }

  private async send(
    input: CallerRequest,
  ): Promise<Omit<CallerResult, 'latencyMs'>> {
    const {body = '', timeoutMs = 5000} = input;
    const echo = randomUUID();
    const service = this.options.service ?? 'portal';
    const send = (origin: string): ReturnType<typeof request> =>
      request(`${origin}/v1/services/${service}/work`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: this.headersFor(input, echo),
        body,
        headersTimeout: timeoutMs + 3000,
        bodyTimeout: timeoutMs + 3000,
      });
    const answer = await (input.origin
      ? send(input.origin)
      : this.sendToReachableOrigin(send));
    const text = await answer.body.text();
    const outcome = String(answer.headers['banyanmux-outcome'] ?? '');
    const isSuccess = outcome === 'ran' && answer.statusCode === 200;
    return {
      outcome,
      code: Number(answer.headers['banyanmux-code'] ?? 0),
      status: answer.statusCode,
      isCorrect: !isSuccess || isExpectedResponse(text, {body, echo}),
      error: isSuccess ? undefined : messageOf(text),
    };
  }

  private headersFor(
    input: CallerRequest,
    echo: string,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this.options.key}`,
      'banyanmux-urgency': input.urgency ?? 'standard',
      'banyanmux-timeout-ms': String(input.timeoutMs ?? 5000),
      'x-echo': echo,
    };
    if (input.workMs !== undefined) headers['x-work-ms'] = String(input.workMs);
    if (input.responseBytes) {
      headers['x-answer-bytes'] = String(input.responseBytes);
    }
    if (input.nonIdempotentKey) {
      headers['banyanmux-idempotent'] = 'false';
      headers['idempotency-key'] = input.nonIdempotentKey;
    }
    return headers;
  }
}

/** Returns the text of a refusal; undefined if the response has none. */
function messageOf(responseText: string): string | undefined {
  try {
    return (JSON.parse(responseText) as {message?: string}).message;
  } catch {
    return undefined;
  }
}

function isExpectedResponse(
  text: string,
  expected: {body: string; echo: string},
): boolean {
  try {
    const parsed = JSON.parse(text) as {digest?: string; echo?: string};
    const digest = createHash('sha256').update(expected.body).digest('hex');
    return parsed.digest === digest && parsed.echo === expected.echo;
  } catch {
    return false;
  }
}
