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
  /**
   * Returns why the target refused the request before starting it, or undefined
   * if the response headers do not indicate a refusal.
   */
  refusalReason: (headers: ResponseHeaders) => string | undefined;
  /**
   * Returns why a response forwarded by another entry counts as lost, or
   * undefined if it does not. @default never lost
   */
  lossReason?: (headers: ResponseHeaders) => string | undefined;
  /** Called whenever bytes of a response are received. @default none */
  onReceived?: () => void;
}

const BODYLESS_STATUSES = new Set([204, 304]);

class DeadlineError extends Error {}

// An abandoned request usually ends soon. Its connection is kept open for this
// time, because only the end of the response shows that its slot is free.
const ABANDONED_TIMEOUT_MS = 2000;

/**
 * Sends one request over a connection and reports how it ended. The caller must
 * discard the connection unless the result is ANSWERED or REFUSED.
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
  /** Called when an abandoned request ends; true if its response completed. */
  private onAbandonedEnd: ((isEnded: boolean) => void) | undefined;
  private refusal: string | undefined;
  private status = 0;
  private readonly onAbort = (): void =>
    this.abandon(new Error('the caller abandoned the request'));

  constructor(
    private readonly client: Client,
    private readonly context: HttpExchangeContext,
  ) {}

  start(): void {
    const {request} = this.context;
    this.timer = setTimeout(
      () =>
        this.abandon(
          new DeadlineError(
            'the deadline passed before the response was complete',
          ),
        ),
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
      // The request is written at most once, even if undici would retry it.
      controller.abort(new Error('the request was already sent'));
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

  /**
   * Reports the result immediately. If the request was sent, keeps its
   * connection open to detect its end.
   */
  private abandon(error: Error): void {
    if (this.isSettled) return;
    if (!this.controller) {
      // Still connecting: closing the client ensures that nothing is sent
      // later.
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
    // The rest of the response is read and discarded.
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

/**
 * Returns why a response without a length is rejected, or undefined. If the end
 * of a response is marked only by closing the connection, a truncated response
 * cannot be distinguished from a complete one.
 */
function missingLengthReason(
  request: TargetRequest,
  response: {status: number; headers: ResponseHeaders},
): string | undefined {
  const hasLength =
    response.headers['content-length'] !== undefined ||
    response.headers['transfer-encoding'] !== undefined;
  const hasNoBody =
    request.method === 'HEAD' || BODYLESS_STATUSES.has(response.status);
  return hasLength || hasNoBody
    ? undefined
    : 'response has neither content-length nor transfer-encoding';
}
