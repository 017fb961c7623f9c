import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Link, LinkHandler, LinkOptions} from './link.js';
import {LinkClient} from './link_client.js';
import {LinkIdentity} from './link_message.js';
import {LinkServer} from './link_server.js';

/** Address of another process of the installation. */
export interface PeerAddress {
  member: string;
  /** 'entry' or 'scheduler'. */
  role: string;
  dataCentre: string;
  /** IP address. */
  host: string;
  port: number;
}

/** Handles a one-way message. */
export type PeerMessageHandler = (body: unknown, from: LinkIdentity) => void;

/** Handles a request; the resolved value or the error is sent to the peer. */
export type PeerRequestHandler = (
  body: unknown,
  from: LinkIdentity,
) => Promise<unknown>;

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions extends LinkOptions {
  /** Identity and shared secret of this process. */
  identity: LinkIdentity & {token: string};
  clock: Clock;
  random: RandomSource;
}

/**
 * Message and request transport between the processes of an installation. Each
 * process opens a link to every peer and sends its own messages and requests
 * over it; those of the peer arrive on the link that the peer opened.
 */
export class PeerNetwork {
  private readonly server: LinkServer;
  private readonly clients = new Map<string, LinkClient>();
  private readonly messageHandlers = new Map<string, PeerMessageHandler>();
  private readonly requestHandlers = new Map<string, PeerRequestHandler>();
  private readonly handler: LinkHandler;

  constructor(private readonly options: PeerNetworkOptions) {
    this.handler = {
      onMessage: (name, body, link) => this.dispatchMessage(name, body, link),
      onRequest: (name, body, link) => this.dispatchRequest(name, body, link),
    };
    this.server = new LinkServer({...options, handler: this.handler});
  }

  /** Identity of this process. */
  get identity(): LinkIdentity {
    return this.options.identity;
  }

  /** Starts to accept links; returns the port, assigned by the OS if 0. */
  listen(host: string, port: number): Promise<number> {
    return this.server.listen(host, port);
  }

  /** Maintains a link to a peer; no effect if there is one already. */
  connect(peer: PeerAddress): void {
    const key = peerKey(peer.role, peer.member);
    if (this.clients.has(key)) return;
    const client = new LinkClient({
      ...this.options,
      host: peer.host,
      port: peer.port,
      handler: this.handler,
    });
    this.clients.set(key, client);
  }

  /** Whether the link to the peer is open. */
  isConnected(role: string, member: string): boolean {
    return this.clients.get(peerKey(role, member))?.isOpen ?? false;
  }

  /** Sets the handler of a message, replacing any earlier one. */
  onMessage(name: string, handler: PeerMessageHandler): void {
    this.messageHandlers.set(name, handler);
  }

  /** Sets the handler of a request, replacing any earlier one. */
  onRequest(name: string, handler: PeerRequestHandler): void {
    this.requestHandlers.set(name, handler);
  }

  /** Sends a one-way message to a peer; dropped if no link is open. */
  send(to: {role: string; member: string}, name: string, body: unknown): void {
    this.clients.get(peerKey(to.role, to.member))?.send(name, body);
  }

  /**
   * Sends a request to a peer.
   *
   * @throws ResultError as {@link Link.request}; NO_OWNER for unknown peers.
   */
  request(
    to: {role: string; member: string},
    name: string,
    options: {body: unknown; timeoutMs: number},
  ): Promise<unknown> {
    const client = this.clients.get(peerKey(to.role, to.member));
    if (client) return client.request(name, options.body, options.timeoutMs);
    return Promise.reject(
      new ResultError(
        ResultCodes.NO_OWNER,
        `Cannot send "${name}": unknown peer ${to.role} ${to.member}`,
      ),
    );
  }

  /** Closes all links and stops accepting new ones. */
  async stop(): Promise<void> {
    for (const client of this.clients.values()) client.stop();
    await this.server.stop();
  }

  private dispatchMessage(name: string, body: unknown, link: Link): void {
    if (link.peer) this.messageHandlers.get(name)?.(body, link.peer);
  }

  private dispatchRequest(
    name: string,
    body: unknown,
    link: Link,
  ): Promise<unknown> {
    const handler = this.requestHandlers.get(name);
    if (handler && link.peer) return handler(body, link.peer);
    return Promise.reject(
      new ResultError(
        ResultCodes.BAD_REQUEST,
        `Cannot handle request "${name}": unknown request name`,
      ),
    );
  }
}

function peerKey(role: string, member: string): string {
  return `${role}:${member}`;
}
