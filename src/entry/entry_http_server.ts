import {randomUUID} from 'node:crypto';
import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {AddressInfo, Socket} from 'node:net';

import {App, Request, Response} from '@tinyhttp/app';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {EntryLimits} from './entry_settings.js';
import {CallerResult, resultHeaders, writeResult} from './result_headers.js';

/** Handles one HTTP request; never rejects. */
export type HttpHandler = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options of {@link EntryHttpServer}. */
export interface EntryHttpServerOptions {
  limits: EntryLimits;
  /** Adds the routes; called once. */
  mount: (app: App<Request, Response>) => void;
}

// After an early response, the rest of the request body is read for this time;
// otherwise the caller might see a connection reset instead of the response.
const DRAIN_TIMEOUT_MS = 2000;

/** HTTP status of a response to an expectation that is not supported. */
const EXPECTATION_FAILED = 417;

interface OpenRequest {
  message: IncomingMessage;
  response: ServerResponse;
}

/** HTTP server for callers, operators and other entries. */
export class EntryHttpServer {
  private readonly server: Server;
  /** Requests without a complete response, by connection. */
  private readonly openRequests = new WeakMap<Socket, OpenRequest>();

  constructor(options: EntryHttpServerOptions) {
    const app = new App<Request, Response>({
      settings: {xPoweredBy: false, networkExtensions: false},
      // Handlers use only the Node.js request and response interfaces.
      applyExtensions: (_request, _response, next) => next(),
      noMatchHandler: (request, response) => {
        const text = `Cannot find route "${request.method} ${request.url}"`;
        refuse(response, ResultCodes.NOT_FOUND, text);
      },
      onError: (error, _request, response) => {
        const {message} = error as Error;
        refuse(response, ResultCodes.INTERNAL, message);
      },
    });
    options.mount(app);
    const {limits} = options;
    this.server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      // Handlers limit each wait for the next bytes of a body instead.
      requestTimeout: 0,
      // Node.js would refuse such a request without a result code.
      requireHostHeader: false,
      keepAliveTimeout: limits.idleMs,
      connectionsCheckingInterval: Math.min(1000, limits.headerTimeoutMs),
      noDelay: true,
    });
    this.server.maxConnections = limits.connections;
    const listener = app.handler.bind(app) as unknown as RequestListener;
    this.server.on('request', (message, response) => {
      this.trackRequest(message, response);
      const problem = findRequestProblem(message);
      if (problem) refuse(response, ResultCodes.BAD_REQUEST, problem);
      else listener(message, response);
    });
    this.server.on('checkExpectation', (message, response) => {
      this.trackRequest(message, response);
      refuseExpectation(message, response);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
      const socket = stream as Socket;
      const openRequest = this.openRequests.get(socket);
      if (openRequest) abortConnection(error, openRequest);
      else rejectMalformed(error, socket);
    });
  }

  private trackRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.openRequests.set(message.socket, {message, response});
    response.on('close', () => this.openRequests.delete(message.socket));
    drainUnreadBody(message, response);
  }

  /** Starts listening; returns the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections and closes open ones once they are idle. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    return closed;
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.closeAllConnections();
  }
}

/** Sends a result code and a text for a request that failed or was refused. */
export function refuse(
  response: ServerResponse,
  code: ResultCode,
  text: string,
): void {
  writeResult(response, randomUUID(), {code, text});
}

/** Returns why the head of a request is invalid; undefined if it is valid. */
function findRequestProblem(message: IncomingMessage): string | undefined {
  const {headers, httpVersion, url = ''} = message;
  if (httpVersion === '1.1' && headers.host === undefined) {
    return 'Cannot read request: the Host header is missing';
  }
  if (!hasValidUrl(url)) return 'Cannot read request: the URL is malformed';
  return undefined;
}

/** Refuses a request with an `Expect` header other than `100-continue`. */
function refuseExpectation(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const {expect} = message.headers;
  writeResult(response, randomUUID(), {
    code: ResultCodes.BAD_REQUEST,
    status: EXPECTATION_FAILED,
    text: `Cannot accept request: the expectation "${expect}" is not supported`,
  });
}

function hasValidUrl(url: string): boolean {
  if (!url.startsWith('/')) return false;
  try {
    decodeURIComponent(url.split('?')[0]!);
    return true;
  } catch {
    return false;
  }
}

function drainUnreadBody(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  response.on('finish', () => {
    if (message.complete || message.destroyed) return;
    message.resume();
    const timer = setTimeout(() => message.destroy(), DRAIN_TIMEOUT_MS);
    message.on('close', () => clearTimeout(timer));
  });
}

function parserErrorResult(error: NodeJS.ErrnoException): CallerResult & {
  status: number;
} {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        code: ResultCodes.TOO_LARGE,
        status: 431,
        text: 'Cannot accept request: the request head is too large',
      };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        code: ResultCodes.BAD_REQUEST,
        status: 408,
        text: 'Cannot read request: the request head was not received in time',
      };
    default:
      return {
        code: ResultCodes.BAD_REQUEST,
        status: 400,
        text: 'Cannot read request: it is not valid HTTP',
      };
  }
}

/**
 * Ends a connection that received invalid bytes while a request is handled. An
 * error response written here would become part of the open response, so the
 * error is passed to the handler of the request, which responds.
 */
function abortConnection(
  error: NodeJS.ErrnoException,
  openRequest: OpenRequest,
): void {
  const {message, response} = openRequest;
  const {socket} = message;
  response.shouldKeepAlive = false;
  response.once('finish', () => socket.destroySoon());
  if (message.complete) return;
  const isRead = message.listenerCount('error') > 0;
  if (error.code === 'ECONNRESET' || !isRead) socket.destroy();
  else message.emit('error', error);
}

/** Sends an error response to a request that the HTTP parser rejected. */
function rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const {code, status, text} = parserErrorResult(error);
  const body = JSON.stringify({
    code: code.number,
    name: code.name,
    outcome: code.outcome,
    message: text,
  });
  const headers = {
    ...resultHeaders(code, randomUUID()),
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  socket.end(`HTTP/1.1 ${status} Refused\r\n${lines.join('')}\r\n${body}`);
}
