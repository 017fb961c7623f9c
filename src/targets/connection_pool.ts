import {Client} from 'undici';

import {Clock} from '../clock/clock.js';

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** Origin of the server, for example "http://10.0.0.7:8080". */
  origin: string;
  clock: Clock;
  /** Maximum number of open connections. */
  maxConnections: number;
  /** Returns whether another connection may be opened now. @default always */
  canOpen?: () => boolean;
  /**
   * Time in ms since the last received byte after which an idle connection is
   * replaced instead of reused, because the network may have dropped it without
   * notice. @default 1000
   */
  maxIdleMs?: number;
  /** Connect timeout in ms. @default 1000 */
  connectTimeoutMs?: number;
}

/** A connection of a {@link ConnectionPool}. */
export interface PooledConnection {
  readonly client: Client;
  /** Monotonic time in ms of the last received byte. */
  lastReceivedMs: number;
}

// Shorter than the idle timeout of most servers, so that the client closes
// first.
const KEEP_ALIVE_MS = 4000;

/** Pool of HTTP connections to one server, without pipelining. */
export class ConnectionPool {
  private readonly idle: PooledConnection[] = [];
  private readonly open = new Set<PooledConnection>();

  constructor(private readonly options: ConnectionPoolOptions) {}

  /** Number of connections that are open or connecting. */
  get openCount(): number {
    return this.open.size;
  }

  /** Number of idle connections. */
  get idleCount(): number {
    return this.idle.length;
  }

  /**
   * Removes an idle connection that received bytes recently from the pool, or
   * opens a new one.
   *
   * @returns The connection, or undefined if no connection may be opened.
   */
  acquire(): PooledConnection | undefined {
    const {clock, maxIdleMs = 1000, maxConnections} = this.options;
    const nowMs = clock.nowMs();
    for (;;) {
      const connection = this.idle.pop();
      if (!connection) break;
      if (nowMs - connection.lastReceivedMs <= maxIdleMs) return connection;
      this.discard(connection);
    }
    if (this.open.size >= maxConnections) return undefined;
    if (!(this.options.canOpen?.() ?? true)) return undefined;
    return this.openConnection();
  }

  /** Returns a connection to the pool after a complete response. */
  release(connection: PooledConnection): void {
    if (this.open.has(connection)) this.idle.push(connection);
  }

  /** Closes a connection that must not be reused. */
  discard(connection: PooledConnection): void {
    if (!this.open.delete(connection)) return;
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    void connection.client.destroy().catch(() => undefined);
  }

  /** Closes all connections immediately. */
  stop(): void {
    for (const connection of [...this.open]) this.discard(connection);
  }

  private openConnection(): PooledConnection {
    const client = new Client(this.options.origin, {
      pipelining: 1,
      connect: {timeout: this.options.connectTimeoutMs ?? 1000},
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: PooledConnection = {
      client,
      lastReceivedMs: this.options.clock.nowMs(),
    };
    this.open.add(connection);
    client.on('disconnect', () => this.discard(connection));
    return connection;
  }
}
