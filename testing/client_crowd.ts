import {connect, Socket} from 'node:net';

import {sleep} from '../src/clock/sleep.js';

/** What one client of a {@link ClientCrowd} sends. */
export interface CrowdMember {
  /** Sent first, in one piece. */
  head: Buffer;
  /** Sent after the head, in pieces of `pieceBytes`. @default nothing */
  body?: Buffer;
  /** Size of the pieces of the body. @default the whole body */
  pieceBytes?: number;
  /** Pause in ms between two pieces. @default none */
  pauseMs?: number;
  /** Sends the body again and again until the server closes. @default false */
  isEndless?: boolean;
}

/** Options of {@link ClientCrowd}. */
export interface ClientCrowdOptions {
  port: number;
  clients: number;
  /** Returns what a client sends. */
  memberOf: (client: number) => CrowdMember;
}

/** Time in ms after which a client that cannot connect is left out. */
const CONNECT_TIMEOUT_MS = 3000;

/** Clients that connect at the same time; more overflow the accept queue. */
const CONNECT_BATCH = 50;

/** Clients on raw connections that never read an answer and never leave. */
export class ClientCrowd {
  private readonly sockets: Socket[] = [];
  private isOver = false;

  constructor(private readonly options: ClientCrowdOptions) {}

  /** Connects all clients; resolves once they have sent what they can. */
  async press(): Promise<void> {
    const {clients} = this.options;
    for (let first = 0; first < clients; first += CONNECT_BATCH) {
      const batch = Math.min(CONNECT_BATCH, clients - first);
      await Promise.all(
        Array.from({length: batch}, (_, index) => this.join(first + index)),
      );
    }
  }

  /** Number of connections that the server has not closed. */
  get openCount(): number {
    return this.sockets.filter(({destroyed}) => !destroyed).length;
  }

  /** Closes all connections. */
  leave(): void {
    this.isOver = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private async join(client: number): Promise<void> {
    const socket = connect({port: this.options.port, host: '127.0.0.1'});
    socket.on('error', () => socket.destroy());
    this.sockets.push(socket);
    socket.pause();
    const isConnected = await new Promise<boolean>((resolve) => {
      socket.once('connect', () => resolve(true));
      socket.once('close', () => resolve(false));
      setTimeout(() => resolve(false), CONNECT_TIMEOUT_MS).unref();
    });
    if (!isConnected) return;
    const member = this.options.memberOf(client);
    socket.setNoDelay(true);
    socket.write(member.head);
    const sent = this.sendBody(socket, member);
    if (!member.isEndless && member.pauseMs === undefined) await sent;
  }

  private async sendBody(socket: Socket, member: CrowdMember): Promise<void> {
    const {body, pieceBytes = body?.length ?? 0, pauseMs, isEndless} = member;
    if (!body) return;
    do {
      for (let start = 0; start < body.length; start += pieceBytes) {
        if (this.isOver || socket.destroyed) return;
        const isDrained = socket.write(
          body.subarray(start, start + pieceBytes),
        );
        if (pauseMs !== undefined) await sleep(pauseMs);
        else if (!isDrained) await drained(socket);
      }
    } while (isEndless);
  }
}

/** Resolves when a socket accepts more bytes, has closed, or after a second. */
function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('drain', resolve);
    socket.once('close', resolve);
    setTimeout(resolve, 1000).unref();
  });
}
