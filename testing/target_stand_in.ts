import {createHash} from 'node:crypto';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo, Socket} from 'node:net';

import {sleep} from '../src/clock/sleep.js';
import {
  EPOCH_HEADER,
  REFUSED_HEADER,
  TargetStatus,
} from '../src/targets/target_status.js';
import {writeJson} from './stand_in_http.js';

/** Violations of the guarantees about requests, counted by the targets. */
export interface TargetViolations {
  /** Requests that started while all slots were in use. */
  overSlots: number;
  /** Connections opened beyond the limit. */
  overConnections: number;
  /** Non-idempotent requests that ran more than once. */
  ranTwice: number;
  /** Requests that arrived more than 3 s after the target started leaving. */
  afterLeaving: number;
}

/** Faults applied to a target. */
export interface TargetFaults {
  /** Reads requests but sends no response. @default false */
  silent?: boolean;
  /** Closes connections immediately. @default false */
  unreachable?: boolean;
  /** Factor by which the processing time is multiplied. @default 1 */
  slowdown?: number;
  /** Closes the connection after half of the response body. @default false */
  truncate?: boolean;
}

/** Options of {@link TargetStandIn}. */
export interface TargetStandInOptions {
  /** Name of the target. */
  target: string;
  /** Number of concurrent requests it can run. @default 8 */
  slots?: number;
  /** Maximum number of connections. @default 64 */
  maxConnections?: number;
  /** Processing time in ms unless the `x-work-ms` header sets it. @default 5 */
  workMs?: number;
  /** Number of runs by idempotency key of non-idempotent requests. */
  ranKeys: Map<string, number>;
}

const LEAVING_GRACE_MS = 3000;

/**
 * Stand-in for an executor. A response contains a digest of the request body
 * and the `x-echo` header, so that a caller can verify that the response is
 * complete and belongs to its request.
 */
export class TargetStandIn {
  /** Violations counted so far. */
  readonly violations: TargetViolations = {
    overSlots: 0,
    overConnections: 0,
    ranTwice: 0,
    afterLeaving: 0,
  };
  /** Faults in effect. */
  faults: TargetFaults = {};
  /** Number of requests that were run. */
  requests = 0;
  /** Highest number of concurrent requests. */
  maxInUse = 0;
  /** Highest number of concurrent connections. */
  maxOpen = 0;
  private leavingSinceMs: number | undefined;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly inUseByEpoch = new Map<number, number>();
  private highestEpoch = 0;
  private inUse = 0;
  private incarnation = 1;

  constructor(private readonly options: TargetStandInOptions) {
    this.server = createServer((message, response) => {
      void this.handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => this.onConnection(socket));
  }

  /** Starts to listen and returns the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, host, () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Stops the server and closes all connections. */
  stop(): Promise<void> {
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  /** Replaces the faults in effect; `unreachable` closes open connections. */
  setFaults(faults: TargetFaults): void {
    this.faults = faults;
    if (faults.unreachable) this.server.closeAllConnections();
  }

  /** Starts leaving: new requests are refused, running ones continue. */
  leave(): void {
    this.leavingSinceMs ??= performance.now();
  }

  /** Accepts requests again with a new incarnation, as after a restart. */
  rejoin(): void {
    this.leavingSinceMs = undefined;
    this.incarnation += 1;
  }

  private onConnection(socket: Socket): void {
    if (this.faults.unreachable) {
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    const {maxConnections = 64} = this.options;
    this.maxOpen = Math.max(this.maxOpen, this.sockets.size);
    if (this.sockets.size > maxConnections) this.violations.overConnections++;
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.silent) {
      message.resume();
      return;
    }
    const epoch = Number(message.headers[EPOCH_HEADER] ?? 0);
    if (message.url === '/-/executor') {
      this.highestEpoch = Math.max(this.highestEpoch, epoch);
      writeJson(response, 200, this.status());
      return;
    }
    const refusal = this.findRefusal(epoch);
    if (refusal) {
      message.resume();
      response.writeHead(503, {[REFUSED_HEADER]: refusal});
      response.end();
      return;
    }
    this.highestEpoch = epoch;
    await this.execute(message, response, epoch);
  }

  private findRefusal(epoch: number): string | undefined {
    if (epoch < this.highestEpoch) return 'epoch';
    if (this.leavingSinceMs !== undefined) {
      const elapsedMs = performance.now() - this.leavingSinceMs;
      if (elapsedMs > LEAVING_GRACE_MS) this.violations.afterLeaving++;
      return 'leaving';
    }
    return undefined;
  }

  private async execute(
    message: IncomingMessage,
    response: ServerResponse,
    epoch: number,
  ): Promise<void> {
    this.recordStart(message, epoch);
    try {
      const hash = createHash('sha256');
      for await (const chunk of message) hash.update(chunk as Buffer);
      const {workMs = 5} = this.options;
      const requestedMs = message.headers['x-work-ms'];
      const baseMs = requestedMs === undefined ? workMs : Number(requestedMs);
      await sleep(baseMs * (this.faults.slowdown ?? 1));
      this.respond(message, response, hash.digest('hex'));
    } finally {
      this.inUse -= 1;
      this.inUseByEpoch.set(epoch, (this.inUseByEpoch.get(epoch) ?? 1) - 1);
    }
  }

  private recordStart(message: IncomingMessage, epoch: number): void {
    this.requests += 1;
    this.inUse += 1;
    this.maxInUse = Math.max(this.maxInUse, this.inUse);
    this.inUseByEpoch.set(epoch, (this.inUseByEpoch.get(epoch) ?? 0) + 1);
    if (this.inUse > (this.options.slots ?? 8)) this.violations.overSlots++;
    const key = message.headers['idempotency-key'];
    const isNonIdempotent = message.headers['banyanmux-idempotent'] === 'false';
    if (isNonIdempotent && typeof key === 'string') {
      const runs = (this.options.ranKeys.get(key) ?? 0) + 1;
      this.options.ranKeys.set(key, runs);
      if (runs > 1) this.violations.ranTwice++;
    }
  }

  private respond(
    message: IncomingMessage,
    response: ServerResponse,
    digest: string,
  ): void {
    const paddingBytes = Number(message.headers['x-answer-bytes'] ?? 0);
    const body = JSON.stringify({
      target: this.options.target,
      digest,
      echo: message.headers['x-echo'] ?? null,
      padding: 'p'.repeat(paddingBytes),
    });
    const length = Buffer.byteLength(body);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': length,
    });
    if (this.faults.truncate) {
      response.write(body.slice(0, length / 2), () => response.destroy());
      return;
    }
    response.end(body);
  }

  private status(): TargetStatus {
    return {
      target: this.options.target,
      incarnation: String(this.incarnation),
      epoch: this.highestEpoch,
      slots: this.options.slots ?? 8,
      slotsInUseByEpoch: Object.fromEntries(this.inUseByEpoch),
      connections: this.sockets.size,
      maxConnections: this.options.maxConnections ?? 64,
      leaving: this.leavingSinceMs !== undefined,
    };
  }
}
