import {AddressInfo, createServer, Server} from 'node:net';

import {Clock} from '../clock/clock.js';
import {Link, LinkHandler, LinkOptions} from './link.js';
import {LinkIdentity} from './link_message.js';

/** Options of {@link LinkServer}. */
export interface LinkServerOptions extends LinkOptions {
  /** Identity and shared secret of this process. */
  identity: LinkIdentity & {token: string};
  /** Handles what the peers send on any of the links. */
  handler: LinkHandler;
  clock: Clock;
  /**
   * Maximum number of open links; beyond it, the oldest one whose peer has not
   * authenticated itself makes room, or the new one is refused.
   * @default 512
   */
  maxLinks?: number;
  /**
   * Maximum number of links whose peers have not authenticated themselves.
   * @default 128
   */
  maxUnauthenticated?: number;
}

/** Listens on a TCP port and accepts links from other processes. */
export class LinkServer {
  private readonly server: Server;
  private readonly links = new Set<Link>();

  constructor(options: LinkServerOptions) {
    const {handler} = options;
    const wrappedHandler: LinkHandler = {
      onMessage: (name, body, link) => handler.onMessage(name, body, link),
      onRequest: (name, body, link) => handler.onRequest(name, body, link),
      onOpen: (link) => handler.onOpen?.(link),
      onClose: (link, reason) => {
        this.links.delete(link);
        handler.onClose?.(link, reason);
      },
    };
    this.server = createServer((socket) => {
      if (!this.makeRoom(options)) {
        socket.destroy();
        return;
      }
      this.links.add(
        new Link(
          socket,
          options.identity,
          wrappedHandler,
          options.clock,
          options,
        ),
      );
    });
  }

  /** Starts to accept links; returns the port, assigned by the OS if 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes a link if there are too many; returns whether one may be added. */
  private makeRoom(options: LinkServerOptions): boolean {
    const {maxLinks = 512, maxUnauthenticated = 128} = options;
    const unauthenticated = [...this.links].filter(({peer}) => !peer);
    const isFull =
      this.links.size >= maxLinks ||
      unauthenticated.length >= maxUnauthenticated;
    if (!isFull) return true;
    unauthenticated[0]?.close('others need its place');
    return unauthenticated.length > 0;
  }

  /** Closes all links and the listening socket. */
  stop(): Promise<void> {
    for (const link of [...this.links]) link.close('stopped');
    return new Promise((resolve) => this.server.close(() => resolve()));
  }
}
