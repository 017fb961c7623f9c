import {createHash, timingSafeEqual} from 'node:crypto';
import {Socket} from 'node:net';

import {Clock} from '../clock/clock.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {encodeFrame, FrameDecoder, MAX_FRAME_BYTES} from './frame_codec.js';
import {
  AnswerFrame,
  HelloFrame,
  LINK_PROTOCOL_VERSION,
  LinkFrame,
  LinkIdentity,
  RequestFrame,
} from './link_message.js';

/** Receives the messages, requests and state changes of a link. */
export interface LinkHandler {
  /** Handles a message that expects no answer. */
  onMessage(name: string, body: unknown, link: Link): void;
  /** Handles a request; the resolved value or the error is sent to the peer. */
  onRequest(name: string, body: unknown, link: Link): Promise<unknown>;
  /** Called once, after the peer has been authenticated. */
  onOpen?(link: Link): void;
  /** Called once, after the link has closed. */
  onClose?(link: Link, reason: string): void;
}

/** Options of {@link Link}. */
export interface LinkOptions {
  /** Interval in ms at which the link is pinged. @default 250 */
  pingIntervalMs?: number;
  /** Time in ms without received data until the link closes. @default 1000 */
  silenceLimitMs?: number;
}

interface PendingRequest {
  resolve(body: unknown): void;
  reject(error: Error): void;
  timer: NodeJS.Timeout;
}

/**
 * Maximum number of buffered bytes to send. A peer that reads too slowly and
 * exceeds it is disconnected.
 */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** Maximum size of the frame with which a peer authenticates itself. */
const MAX_HELLO_BYTES = 4096;

/** Time in ms in which a peer has to authenticate itself. */
const HANDSHAKE_TIMEOUT_MS = 5000;

const CODES_BY_NUMBER = new Map<number, ResultCode>(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

function digest(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

/**
 * An authenticated connection between two processes. Both sides first send a
 * {@link HelloFrame}; messages and requests follow in both directions. The link
 * owns its socket and closes it if the peer sends nothing for too long.
 */
export class Link {
  /** Identity of the peer; undefined until its hello frame is accepted. */
  peer: LinkIdentity | undefined;
  private readonly decoder = new FrameDecoder();
  private readonly pending = new Map<number, PendingRequest>();
  private readonly timer: NodeJS.Timeout;
  private readonly silenceLimitMs: number;
  private lastReceivedMs: number;
  private readonly openedMs: number;
  private nextId = 1;
  private closed = false;

  constructor(
    private readonly socket: Socket,
    private readonly identity: LinkIdentity & {token: string},
    private readonly handler: LinkHandler,
    private readonly clock: Clock,
    options: LinkOptions = {},
  ) {
    this.silenceLimitMs = options.silenceLimitMs ?? 1000;
    this.openedMs = clock.nowMs();
    this.lastReceivedMs = this.openedMs;
    this.decoder.limitBytes = MAX_HELLO_BYTES;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.close('closed by the peer'));
    this.timer = setInterval(
      () => this.checkSilence(),
      options.pingIntervalMs ?? 250,
    );
    this.write({type: 'hello', version: LINK_PROTOCOL_VERSION, ...identity});
  }

  /** Whether the peer is authenticated and the link has not closed. */
  get isOpen(): boolean {
    return this.peer !== undefined && !this.closed;
  }

  /** Sends a message without an answer; dropped if the link has closed. */
  send(name: string, body: unknown): void {
    if (!this.closed) this.write({type: 'message', name, body});
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param name - Name of the request.
   * @param body - Value that CBOR can represent.
   * @param timeoutMs - Time limit for the answer in ms.
   * @returns The body of the answer.
   * @throws ResultError with the code that the peer sent; NO_OWNER if the link
   *     was not open, so that nothing was sent; ANSWER_LOST if the link closed
   *     before the answer arrived; TIMED_OUT if no answer arrived in time.
   */
  request(name: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (!this.isOpen) {
      return Promise.reject(
        new ResultError(
          ResultCodes.NO_OWNER,
          `Cannot send "${name}": the link is not open`,
        ),
      );
    }
    const id = this.nextId++;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.pending.delete(id);
        reject(
          new ResultError(
            ResultCodes.TIMED_OUT,
            `Cannot complete "${name}": no answer within ${timeoutMs} ms`,
          ),
        );
      }, timeoutMs);
      this.pending.set(id, {resolve, reject, timer});
      this.write({type: 'request', id, name, body});
    });
  }

  /** Closes the link; pending requests fail with ANSWER_LOST. */
  close(reason = 'closed by this process'): void {
    if (this.closed) return;
    this.closed = true;
    clearInterval(this.timer);
    this.socket.destroy();
    for (const request of this.pending.values()) {
      clearTimeout(request.timer);
      request.reject(
        new ResultError(
          ResultCodes.ANSWER_LOST,
          `Cannot receive answer: link closed: ${reason}`,
        ),
      );
    }
    this.pending.clear();
    this.handler.onClose?.(this, reason);
  }

  private write(frame: LinkFrame): void {
    if (this.socket.destroyed) return;
    this.socket.write(encodeFrame(frame));
    if (this.socket.writableLength > MAX_UNSENT_BYTES) {
      this.close('send buffer full: the peer reads too slowly');
    }
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedMs = this.clock.nowMs();
    try {
      for (const value of this.decoder.push(chunk)) {
        if (this.closed) return;
        this.handle(value as LinkFrame);
      }
    } catch (error) {
      this.close(`malformed frame: ${(error as Error).message}`);
    }
  }

  private handle(frame: LinkFrame): void {
    if (!this.peer) {
      this.authenticate(frame);
      return;
    }
    switch (frame.type) {
      case 'message':
        this.handler.onMessage(frame.name, frame.body, this);
        break;
      case 'request':
        void this.answer(frame);
        break;
      case 'answer':
        this.settleRequest(frame);
        break;
      case 'ping':
        this.write({type: 'pong'});
        break;
      case 'pong':
        break;
      default:
        this.close('unexpected frame type');
    }
  }

  private authenticate(frame: LinkFrame): void {
    const hello = frame as Partial<HelloFrame>;
    const isValid =
      hello.type === 'hello' &&
      hello.version === LINK_PROTOCOL_VERSION &&
      typeof hello.token === 'string' &&
      typeof hello.member === 'string' &&
      typeof hello.incarnation === 'string' &&
      timingSafeEqual(digest(hello.token), digest(this.identity.token));
    if (!isValid) {
      this.close('handshake failed: invalid hello frame, version or token');
      return;
    }
    this.peer = {
      member: hello.member!,
      incarnation: hello.incarnation!,
      role: String(hello.role),
      dataCentre: String(hello.dataCentre),
      processors: Number(hello.processors ?? 0),
    };
    this.decoder.limitBytes = MAX_FRAME_BYTES;
    this.handler.onOpen?.(this);
  }

  private async answer(frame: RequestFrame): Promise<void> {
    const answer: AnswerFrame = {type: 'answer', id: frame.id};
    try {
      answer.body = await this.handler.onRequest(frame.name, frame.body, this);
    } catch (error) {
      const isKnown = error instanceof ResultError;
      answer.error = {
        number: isKnown ? error.code.number : ResultCodes.INTERNAL.number,
        text: (error as Error).message,
        retryAfterMs: isKnown ? error.retryAfterMs : undefined,
      };
    }
    if (!this.closed) this.write(answer);
  }

  private settleRequest(frame: AnswerFrame): void {
    const request = this.pending.get(frame.id);
    if (!request) return; // The request has already timed out.
    this.pending.delete(frame.id);
    clearTimeout(request.timer);
    if (!frame.error) {
      request.resolve(frame.body);
      return;
    }
    const code =
      CODES_BY_NUMBER.get(frame.error.number) ?? ResultCodes.INTERNAL;
    const {retryAfterMs} = frame.error;
    request.reject(new ResultError(code, frame.error.text, {retryAfterMs}));
  }

  private checkSilence(): void {
    const nowMs = this.clock.nowMs();
    const silentMs = nowMs - this.lastReceivedMs;
    if (!this.peer && nowMs - this.openedMs > HANDSHAKE_TIMEOUT_MS) {
      this.close('the peer did not authenticate itself in time');
    } else if (silentMs > this.silenceLimitMs) {
      this.close(`no data received for ${Math.round(silentMs)} ms`);
    } else if (this.peer) {
      this.write({type: 'ping'});
    }
  }
}
