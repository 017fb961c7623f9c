import {ServerResponse} from 'node:http';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {AnswerHeaders, AnswerSink} from '../targets/target_client.js';
import {answerHeaders} from './http_headers.js';
import {CallerResult, resultHeaders, writeResult} from './result_headers.js';

/** A whole answer that is held in memory. */
export interface HeldAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** Options of {@link CallerAnswer}. */
export interface CallerAnswerOptions {
  requestId: string;
  /**
   * Bytes that are held back until the answer is whole; a longer answer is
   * passed on while it arrives. @default 65536
   */
  holdBytes?: number;
  /**
   * Time in ms after which an answer of unknown length is passed on although
   * it is not whole. @default 100
   */
  holdMs?: number;
}

/**
 * Passes a target's answer on to a caller. Short answers are passed on only
 * once they are whole; a longer one that is cut short ends in a closed
 * connection, never in a complete answer.
 */
export class CallerAnswer implements AnswerSink {
  private status = 0;
  private headers: Record<string, string | string[]> = {};
  private chunks: Buffer[] = [];
  private heldBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private isPassing = false;
  private drain: (() => void) | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: CallerAnswerOptions,
  ) {
    response.on('drain', () => this.drain?.());
  }

  /** True once bytes of a target's answer went to the caller. */
  get hasPassedBytes(): boolean {
    return this.isPassing;
  }

  begin(status: number, headers: AnswerHeaders): void {
    this.reset();
    this.status = status;
    this.headers = answerHeaders(headers);
    if (headers['content-length'] === undefined) {
      this.timer = setTimeout(() => this.passOn(), this.options.holdMs ?? 100);
    }
  }

  write(chunk: Buffer): boolean {
    if (this.isPassing) return this.response.write(chunk);
    this.chunks.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= (this.options.holdBytes ?? 65_536)) return true;
    return this.passOn();
  }

  onDrain(listener: () => void): void {
    this.drain = listener;
  }

  /** Forgets what an attempt without a whole answer has delivered. */
  reset(): void {
    clearTimeout(this.timer);
    this.chunks = [];
    this.heldBytes = 0;
  }

  /**
   * Ends a whole answer.
   *
   * @returns The answer if all of it was held.
   */
  complete(code: ResultCode = ResultCodes.OK): HeldAnswer | undefined {
    clearTimeout(this.timer);
    if (this.isPassing) {
      this.response.end();
      return undefined;
    }
    const body = Buffer.concat(this.chunks);
    const answer = {status: this.status, headers: this.headers, body};
    this.replay(answer, code);
    return answer;
  }

  /** Answers with a whole answer. */
  replay(answer: HeldAnswer, code: ResultCode): void {
    const headers = {...answer.headers};
    const hasLength = headers['content-length'] !== undefined;
    if (!hasLength && mayHaveBody(answer.status)) {
      headers['content-length'] = String(answer.body.length);
    }
    this.writeHead(answer.status, headers, code);
    this.response.end(answer.body);
  }

  /** Answers without a target's answer, or closes one that was cut short. */
  fail(result: CallerResult): void {
    clearTimeout(this.timer);
    writeResult(this.response, this.options.requestId, result);
  }

  private passOn(): boolean {
    clearTimeout(this.timer);
    this.isPassing = true;
    this.writeHead(this.status, this.headers, ResultCodes.OK);
    this.response.flushHeaders();
    const held = Buffer.concat(this.chunks);
    this.chunks = [];
    return held.length === 0 || this.response.write(held);
  }

  private writeHead(
    status: number,
    headers: Record<string, string | string[]>,
    code: ResultCode,
  ): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(status, {
      ...headers,
      ...resultHeaders(code, this.options.requestId),
    });
  }
}

function mayHaveBody(status: number): boolean {
  return status !== 204 && status !== 304;
}
