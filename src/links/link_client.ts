import {connect} from 'node:net';

import {Clock} from '../clock/clock.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Link, LinkHandler, LinkOptions} from './link.js';
import {LinkIdentity} from './link_message.js';

/** Options of {@link LinkClient}. */
export interface LinkClientOptions extends LinkOptions {
  /** IP number of the other side. */
  host: string;
  /** TCP port of the other side. */
  port: number;
  /** Identity and shared secret of this process. */
  identity: LinkIdentity & {token: string};
  /** Handles what the other side sends. */
  handler: LinkHandler;
  clock: Clock;
  /** Spreads reconnection attempts. */
  random: RandomSource;
  /** Shortest wait in ms before a new connection attempt. @default 100 */
  reconnectMs?: number;
}

/** Keeps one link to a peer open and dials again when it closes. */
export class LinkClient {
  private link: Link | undefined;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: LinkClientOptions) {
    this.dial();
  }

  /** Tells whether requests can be sent now. */
  get isOpen(): boolean {
    return this.link?.isOpen ?? false;
  }

  /** Sends a message that expects no answer; dropped without a link. */
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
        `Cannot send "${name}": no link to ${host}:${port}`,
      ),
    );
  }

  /** Closes the link and stops dialling. */
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
