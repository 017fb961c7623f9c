import {
  createServer,
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import {Socket} from 'node:net';

import {Clock} from '../clock/clock.js';
import {Connection, ConnectionTable} from './connection_table.js';
import {DoorLimits} from './door_limits.js';
import {DoorRefusal, RecordRefusal} from './door_refusal.js';
import {whenOver} from './when_over.js';

/** Options of {@link DoorServer}. */
export interface DoorServerOptions {
  /** Address to listen on. */
  address: {host: string; port: number};
  /** Handles requests. */
  listener: RequestListener;
  clock: Clock;
  limits: DoorLimits;
  /** Maximum number of open connections. @default that of the limits */
  mostConnections?: number;
  /** Called with each refusal. */
  recordRefusal: RecordRefusal;
  /** Keep-alive timeout in ms of idle connections. @default 65000 */
  idleMs?: number;
}

/** Interval in ms between two searches for requests that take too long. */
const TIMEOUT_CHECK_MS = 2000;

/** Retry-after time in seconds while too many requests are in service. */
const RETRY_AFTER_SECONDS = 1;

/**
 * HTTP server that bounds what its clients can hold: connections, header
 * sections, requests sent ahead and requests in service. Drains keep-alive
 * connections before it closes.
 */
export class DoorServer {
  private readonly server: Server;
  private readonly connections: ConnectionTable;
  private isDraining = false;

  constructor(private readonly options: DoorServerOptions) {
    const {limits, clock, recordRefusal} = options;
    const {mostConnections = limits.mostConnections} = options;
    this.connections = new ConnectionTable({
      clock,
      mostConnections,
      recordRefusal,
    });
    this.server = createServer(
      {
        keepAliveTimeout: options.idleMs ?? 65_000,
        noDelay: true,
        maxHeaderSize: limits.mostHeaderBytes,
        requestTimeout: limits.receiveTimeoutMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      },
      (request, response) => this.handle(request, response),
    );
    this.server.maxHeadersCount = limits.mostHeaders;
    this.server.on('connection', (socket) => this.connections.add(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.rejectHead(error, stream as Socket),
    );
  }

  /** Starts to accept connections; rejects if the address cannot be bound. */
  listen(): Promise<void> {
    const {host, port} = this.options.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Adds `connection: close` to responses from now on, so that clients stop
   * reusing their connections.
   */
  startDraining(): void {
    this.isDraining = true;
  }

  /**
   * Stops accepting connections and closes those without a complete request;
   * resolves when all requests in service have completed.
   */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve()),
    );
    this.connections.closeQuiet();
    return closed;
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    // Requests that were read together with one that closed the connection.
    if (!connection || request.socket.destroyed) return;
    const {limits, recordRefusal, listener} = this.options;
    if (connection.open.size >= limits.mostAhead) {
      recordRefusal(DoorRefusal.SENT_AHEAD);
      request.socket.destroy();
      return;
    }
    this.track(connection, request, response);
    if (this.isDraining) response.setHeader('connection', 'close');
    if (this.connections.countInService() >= limits.mostInService) {
      recordRefusal(DoorRefusal.IN_SERVICE);
      refuse(response);
      return;
    }
    listener(request, response);
  }

  /** Counts a request until its response is over. */
  private track(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.open.add(request);
    whenOver(request, response, () => {
      connection.open.delete(request);
      connection.quietSinceMs = this.options.clock.nowMs();
    });
  }

  /**
   * Answers a header section that cannot be read, and closes. While an earlier
   * request has no response, the client would take the answer for that one's.
   */
  private rejectHead(error: NodeJS.ErrnoException, socket: Socket): void {
    const isAwaited = (this.connections.get(socket)?.open.size ?? 0) > 0;
    if (isAwaited || !socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.options.recordRefusal(DoorRefusal.BAD_HEAD);
    const status = statusOf(error.code);
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
      () => socket.destroy(),
    );
  }
}

function statusOf(code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return '431 Request Header Fields Too Large';
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return '408 Request Timeout';
  return '400 Bad Request';
}

function refuse(response: ServerResponse): void {
  response.writeHead(503, {
    'content-length': 0,
    'retry-after': String(RETRY_AFTER_SECONDS),
  });
  response.end();
}
