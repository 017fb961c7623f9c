import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';

import {Clock} from '../clock/clock.js';
import {DoorRefusal, RecordRefusal} from './door_refusal.js';

/** A connection of a client. */
export interface Connection {
  readonly socket: Socket;
  /** Requests that have no response yet. */
  readonly open: Set<IncomingMessage>;
  /** Time in ms since which no response was finished on it. */
  quietSinceMs: number;
}

/** Options of {@link ConnectionTable}. */
export interface ConnectionTableOptions {
  clock: Clock;
  mostConnections: number;
  recordRefusal: RecordRefusal;
}

/**
 * Open connections of a listener. When there are too many, the one that has been
 * quiet for the longest is closed, so that a crowd which stays does not keep
 * others out.
 */
export class ConnectionTable {
  private readonly connections = new Map<Socket, Connection>();

  constructor(private readonly options: ConnectionTableOptions) {}

  /** Adds a new connection, and closes one if there are too many. */
  add(socket: Socket): void {
    const {clock, mostConnections, recordRefusal} = this.options;
    if (this.connections.size >= mostConnections) {
      const quietest = this.findQuietest();
      if (!quietest) {
        recordRefusal(DoorRefusal.CONNECTIONS_IN_SERVICE);
        socket.destroy();
        return;
      }
      recordRefusal(DoorRefusal.QUIET_CONNECTION);
      this.remove(quietest.socket);
      quietest.socket.destroy();
    }
    const quietSinceMs = clock.nowMs();
    this.connections.set(socket, {
      socket,
      open: new Set(),
      quietSinceMs,
    });
    socket.once('close', () => this.remove(socket));
  }

  /** Returns a connection; undefined once it is closed. */
  get(socket: Socket): Connection | undefined {
    return this.connections.get(socket);
  }

  /** Closes the connections on which no request is in service. */
  closeQuiet(): void {
    for (const connection of this.connections.values()) {
      if (!isInService(connection)) connection.socket.destroy();
    }
  }

  /** Returns the number of requests that are complete and not answered. */
  countInService(): number {
    let count = 0;
    for (const {open} of this.connections.values()) {
      for (const {complete} of open) if (complete) count += 1;
    }
    return count;
  }

  private remove(socket: Socket): void {
    this.connections.delete(socket);
  }

  private findQuietest(): Connection | undefined {
    let quietest: Connection | undefined;
    for (const connection of this.connections.values()) {
      if (isInService(connection)) continue;
      const sinceMs = quietest?.quietSinceMs ?? Infinity;
      if (connection.quietSinceMs < sinceMs) quietest = connection;
    }
    return quietest;
  }
}

/** Whether a request on a connection is complete and has no response yet. */
function isInService({open}: Connection): boolean {
  for (const {complete} of open) if (complete) return true;
  return false;
}
