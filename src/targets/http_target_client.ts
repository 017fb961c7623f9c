import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {ConnectionPool, PooledConnection} from './connection_pool.js';
import {sendHttpRequest} from './http_exchange.js';
import {
  ResponseSink,
  TargetClient,
  TargetRequest,
  TargetResult,
  TargetResultKind,
} from './target_client.js';
import {EPOCH_HEADER, REFUSED_HEADER, TargetStatus} from './target_status.js';

/** Options of {@link HttpTargetClient}. */
export interface HttpTargetClientOptions {
  /** Origin of the target, for example "http://10.0.0.7:8080". */
  origin: string;
  clock: Clock;
  /** Maximum number of connections for requests. @default 8 */
  maxConnections?: number;
  /** Timeout in ms for reading the status. @default 1000 */
  probeTimeoutMs?: number;
}

const STATUS_PATH = '/-/executor';
const MAX_STATUS_BYTES = 64 * 1024;

// Left free for a previous or next owner, which may open its 9 connections (8
// for requests, 1 for probes) between two reads of the executor's count.
const RESERVED_CONNECTIONS = 9;

const statusSchema = z.object({
  target: z.string(),
  incarnation: z.string(),
  epoch: z.number(),
  slots: z.int().min(0),
  slotsInUseByEpoch: z.record(z.string(), z.number()),
  connections: z.int().min(0),
  maxConnections: z.int().min(0),
  leaving: z.boolean(),
});

/** HTTP client of the executor on one target. */
export class HttpTargetClient implements TargetClient {
  private readonly pool: ConnectionPool;
  private readonly probePool: ConnectionPool;
  private otherOwnersConnections = 0;
  private connectionLimit = 0;

  constructor(private readonly options: HttpTargetClientOptions) {
    const {origin, clock, maxConnections = 8} = options;
    this.pool = new ConnectionPool({
      origin,
      clock,
      maxConnections,
      canOpen: () => this.remainingConnections() > 0,
    });
    // The probe connection is used every second and replaced when it fails, so
    // its idle limit is longer than that of connections for requests.
    this.probePool = new ConnectionPool({
      origin,
      clock,
      maxConnections: 1,
      maxIdleMs: 3000,
    });
  }

  availableCount(): number {
    const {maxConnections = 8} = this.options;
    const openable = Math.min(
      maxConnections - this.pool.openCount,
      this.remainingConnections(),
    );
    return this.pool.idleCount + Math.max(0, openable);
  }

  async send(
    request: TargetRequest,
    sink: ResponseSink,
    epoch: number,
  ): Promise<TargetResult> {
    const connection = this.pool.acquire();
    if (!connection) {
      return {
        kind: TargetResultKind.NOT_SENT,
        reason: 'no connection to the target is available',
      };
    }
    const headers = {...request.headers, [EPOCH_HEADER]: String(epoch)};
    const result = await sendHttpRequest(
      connection.client,
      {...request, headers},
      {
        sink,
        refusalReason: (headers) => headers[REFUSED_HEADER]?.toString(),
        onReceived: () => this.recordReceived(connection),
      },
    );
    void this.returnConnection(connection, result);
    return result;
  }

  async probe(epoch: number): Promise<TargetStatus> {
    const connection = this.probePool.acquire();
    if (!connection) throw new Error('a probe is already in progress');
    try {
      const status = await this.readStatus(connection, epoch);
      this.probePool.release(connection);
      return status;
    } catch (error) {
      this.probePool.discard(connection);
      throw error;
    }
  }

  stop(): Promise<void> {
    this.pool.stop();
    this.probePool.stop();
    return Promise.resolve();
  }

  private async returnConnection(
    connection: PooledConnection,
    result: TargetResult,
  ): Promise<void> {
    const isLost = result.kind === TargetResultKind.LOST;
    const isReusable = isLost
      ? (await result.ended) === true
      : result.kind === TargetResultKind.ANSWERED;
    // After a refusal, part of the request body may still be unsent.
    if (isReusable) this.pool.release(connection);
    else this.pool.discard(connection);
  }

  private async readStatus(
    connection: PooledConnection,
    epoch: number,
  ): Promise<TargetStatus> {
    const sink = new BufferingSink();
    const ownConnections = this.pool.openCount + this.probePool.openCount;
    const result = await sendHttpRequest(
      connection.client,
      {
        method: 'GET',
        path: STATUS_PATH,
        headers: {[EPOCH_HEADER]: String(epoch)},
        remainingMs: this.options.probeTimeoutMs ?? 1000,
      },
      {
        sink,
        refusalReason: () => undefined,
        onReceived: () => this.recordReceived(connection),
      },
    );
    if (result.kind !== TargetResultKind.ANSWERED || result.status !== 200) {
      const reason = 'reason' in result ? result.reason : result.status;
      throw new Error(`Cannot read target status: ${reason}`);
    }
    const status = statusSchema.parse(JSON.parse(sink.text()));
    this.connectionLimit = status.maxConnections;
    this.otherOwnersConnections = Math.max(
      0,
      status.connections - ownConnections,
    );
    return status;
  }

  /** Connections that may be opened within the executor's limit. */
  private remainingConnections(): number {
    const own = this.pool.openCount + this.probePool.openCount;
    const reserve = Math.min(
      RESERVED_CONNECTIONS,
      Math.floor(this.connectionLimit / 4),
    );
    return this.connectionLimit - reserve - own - this.otherOwnersConnections;
  }

  private recordReceived(connection: PooledConnection): void {
    connection.lastReceivedMs = this.options.clock.nowMs();
  }
}

class BufferingSink implements ResponseSink {
  private readonly chunks: Buffer[] = [];
  private size = 0;

  begin(): void {
    this.chunks.length = 0;
  }

  write(chunk: Buffer): boolean {
    this.size += chunk.length;
    if (this.size > MAX_STATUS_BYTES) throw new Error('status exceeds 64 KiB');
    this.chunks.push(chunk);
    return true;
  }

  onDrain(): void {}

  text(): string {
    return Buffer.concat(this.chunks).toString('utf8');
  }
}
