import {Client, Dispatcher} from 'undici';

import {
  ResponseHeaders,
  ResponseSink,
  TargetRequest,
  TargetResult,
  TargetResultKind,
} from './target_client.js';

/** Options of {@link sendHttpRequest}. */
export interface HttpExchangeOptions {
  sink: ResponseSink;
  /** Returns why the head of an answer is a refusal before start, if it is. */
  refusalReason: (headers: ResponseHeaders) => string | undefined;
  /** Returns why the answer of a relay is not whole. @default never */
  lossReason?: (headers: ResponseHeaders) => string | undefined;
  /** Called for each byte that arrives. @default none */
  onReceived?: () => void;
}

const BODYLESS_STATUSES = new Set([204, 304]);

class DeadlineError extends Error {}

// A request that was given up usually ends soon after; its connection is
// followed for this time, because only its end shows that its slot is free.
const ABANDONED_TIMEOUT_MS = 2000;

/**
 * Sends one request over a connection and reports precisely how it ended. The
 * caller discards the connection unless the result is ANSWERED or REFUSED.
 */
export function sendHttpRequest(
  client: Client,
  request: TargetRequest,
  options: HttpExchangeOptions,
): Promise<TargetResult> {
  return new Promise((resolve) => {
    new HttpExchange(client, {request, options, resolve}).start();
  });
}

interface HttpExchangeContext {
  request: TargetRequest;
  options: HttpExchangeOptions;
  resolve: (result: TargetResult) => void;
}

class HttpExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasStarted = false;
  private isSettled = false;
  /** Told how a request ended that was given up. */
  private onAbandonedEnd: ((isEnded: boolean) => void) | undefined;
  private refusal: string | undefined;
  private status = 0;
  private readonly onAbort = (): void =>
    this.abandon(new Error('given up by the caller'));

  constructor(
    private readonly client: Client,
    private readonly context: HttpExchangeContext,
  ) {}

  start(): void {
    const {request} = this.context;
    this.timer = setTimeout(
      () => this.abandon(new DeadlineError('the deadline passed')),
      request.remainingMs,
    );
    request.signal?.addEventListener('abort', this.onAbort, {once: true});
    if (request.signal?.aborted) {
      this.onAbort();
      return;
    }
    try {
      this.client.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body ?? null,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        this,
      );
    } catch (error) {
      this.fail(error as Error);
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isSettled || this.hasStarted) {
      // A request is written at most once, also if the client would repeat it.
      controller.abort(new Error('already sent'));
      return;
    }
    this.controller = controller;
    this.hasStarted = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < 200) return;
    const {options, request} = this.context;
    options.onReceived?.();
    if (this.isSettled) return;
    this.refusal = options.refusalReason(headers);
    if (this.refusal !== undefined) return;
    const lossReason =
      options.lossReason?.(headers) ??
      missingLengthReason(request, {status, headers});
    if (lossReason !== undefined) {
      controller.abort(new Error(lossReason));
      return;
    }
    this.status = status;
    options.sink.onDrain(() => controller.resume());
    options.sink.begin(status, headers);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const {options} = this.context;
    options.onReceived?.();
    if (this.refusal !== undefined || this.isSettled) return;
    if (!options.sink.write(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    this.context.options.onReceived?.();
    this.onAbandonedEnd?.(true);
    this.settle(
      this.refusal === undefined
        ? {kind: TargetResultKind.ANSWERED, status: this.status}
        : {kind: TargetResultKind.REFUSED, reason: this.refusal},
    );
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.fail(error);
  }

  /** Reports at once, and follows a request that was sent to its end. */
  private abandon(error: Error): void {
    if (this.isSettled) return;
    if (!this.controller) {
      // Still connecting: without the connection nothing can be sent later.
      void this.client.destroy(error).catch(() => undefined);
      this.fail(error);
      return;
    }
    const {controller} = this;
    const ended = new Promise<boolean>((resolve) => {
      const timer = setTimeout(
        () => controller.abort(error),
        ABANDONED_TIMEOUT_MS,
      );
      this.onAbandonedEnd = (isEnded) => {
        clearTimeout(timer);
        resolve(isEnded);
      };
    });
    // What still arrives is read and dropped.
    controller.resume();
    const isTimeout = error instanceof DeadlineError;
    const {message: reason} = error;
    this.settle({kind: TargetResultKind.LOST, reason, isTimeout, ended});
  }

  private fail(error: Error): void {
    const reason = error.message;
    this.onAbandonedEnd?.(false);
    if (!this.hasStarted) {
      this.settle({kind: TargetResultKind.NOT_SENT, reason});
    } else if (this.refusal !== undefined) {
      this.settle({kind: TargetResultKind.REFUSED, reason: this.refusal});
    } else {
      this.settle({kind: TargetResultKind.LOST, reason, isTimeout: false});
    }
  }

  private settle(result: TargetResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    const {request, resolve} = this.context;
    request.signal?.removeEventListener('abort', this.onAbort);
    resolve(result);
  }
}

/** An answer that ends with its connection can't be told from a cut one. */
function missingLengthReason(
  request: TargetRequest,
  response: {status: number; headers: ResponseHeaders},
): string | undefined {
  const hasLength =
    response.headers['content-length'] !== undefined ||
    response.headers['transfer-encoding'] !== undefined;
  const hasNoBody =
    request.method === 'HEAD' || BODYLESS_STATUSES.has(response.status);
  return hasLength || hasNoBody ? undefined : 'the answer gives no length';
}
