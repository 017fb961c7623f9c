import {createHash, randomUUID} from 'node:crypto';

import {Agent, request} from 'undici';

/** One request of a {@link Caller}. */
export interface CallerRequest {
  /** Body to send. @default '' */
  body?: string;
  /** Time in ms that the target works on it. @default the target's own */
  workMs?: number;
  /** Urgency class. @default 'standard' */
  urgency?: string;
  /** Deadline in ms. @default 5000 */
  timeoutMs?: number;
  /** Key of a non-idempotent request. @default idempotent */
  nonIdempotentKey?: string;
  /** Bytes of padding in the answer. @default 0 */
  responseBytes?: number;
  /** Entry to use instead of the next one in turn. */
  origin?: string;
}

/** What a caller got. */
export interface CallerResult {
  /** 'ran', 'did-not-run', 'may-have-run', or 'no-answer'. */
  outcome: string;
  /** Number of the result code; 0 without an answer. */
  code: number;
  status: number;
  /** False if the answer is cut short or belongs to another request. */
  isCorrect: boolean;
  latencyMs: number;
}

/** Options of {@link Caller}. */
export interface CallerOptions {
  /** Entries, used in turn as a balancer does. */
  origins: readonly string[];
  /** Key of the caller. */
  key: string;
  /** Service that requests go to. @default 'portal' */
  service?: string;
  /** Most connections to each entry. @default 64 */
  connections?: number;
}

const NO_RESPONSE: Omit<CallerResult, 'latencyMs'> = {
  outcome: 'no-answer',
  code: 0,
  status: 0,
  isCorrect: true,
};

/** Sends requests through a balancer's rotation and checks the answers. */
export class Caller {
  private readonly agent: Agent;
  private originIndex = 0;

  constructor(private readonly options: CallerOptions) {
    this.agent = new Agent({connections: options.connections ?? 64});
  }

  /** Sends one request to a service. */
  async call(input: CallerRequest = {}): Promise<CallerResult> {
    const startMs = performance.now();
    try {
      const result = await this.send(input);
      return {...result, latencyMs: performance.now() - startMs};
    } catch {
      return {...NO_RESPONSE, latencyMs: performance.now() - startMs};
    }
  }

  /** Sends a JSON call to the job interface. */
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

  /** Closes all connections. */
  stop(): Promise<void> {
    return this.agent.destroy();
  }

  /** Passes over entries that refuse connections, as a balancer does. */
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
