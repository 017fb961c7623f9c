import {connect} from 'node:net';

import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Link, LinkHandler, LinkOptions} from './link.js';
import {LinkIdentity} from './link_message.js';

/** Options of {@link LinkClient}. */
export interface LinkClientOptions extends LinkOptions {
  /** IP address of the peer. */
  host: string;
  /** TCP port of the peer. */
  port: number;
  /** Identity and shared secret of this process. */
  identity: LinkIdentity & {token: string};
  /** Handles what the peer sends. */
  handler: LinkHandler;
  clock: Clock;
  /** Source of the jitter between connection attempts. */
  random: RandomSource;
  /** Minimum delay in ms before a connection attempt. @default 100 */
  reconnectMs?: number;
}

/** Maintains a link to a peer and reconnects whenever it closes. */
export class LinkClient {
  private link: Link | undefined;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: LinkClientOptions) {
    this.dial();
  }

  /** Whether the link is open and requests can be sent. */
  get isOpen(): boolean {
    return this.link?.isOpen ?? false;
  }

  /** Sends a message without an answer; dropped if no link is open. */
  send(name: string, body: unknown): void {
    if (this.link?.isOpen) this.link.send(name, body);
  }

  /** Sends a request; see {@link Link.request}. */
  request(name: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.link?.isOpen) return this.link.request(name, body, timeoutMs);
    const {host, port} = this.options;
    return Promise.reject(
      new ResultError(
        ResultCodes.NO_OWNER,
        `Cannot send "${name}": not connected to ${host}:${port}`,
      ),
    );
  }

  /** Closes the link and stops reconnecting. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.link?.close('stopped');
  }

  private dial(): void {
    const {host, port, handler} = this.options;
    const socket = connect({host, port});
    const wrappedHandler: LinkHandler = {
      onMessage: (name, body, link) => handler.onMessage(name, body, link),
      onRequest: (name, body, link) => handler.onRequest(name, body, link),
      onOpen: (link) => handler.onOpen?.(link),
      onClose: (link, reason) => {
        this.scheduleReconnect();
        handler.onClose?.(link, reason);
      },
    };
    this.link = new Link(
      socket,
      this.options.identity,
      wrappedHandler,
      this.options.clock,
      this.options,
    );
  }

  private scheduleReconnect(): void {
    if (this.stopped) return;
    const {reconnectMs = 100, random} = this.options;
    this.timer = setTimeout(
      () => this.dial(),
      reconnectMs * (1 + random.next()),
    );
  }
}
