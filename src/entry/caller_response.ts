import {ServerResponse} from 'node:http';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResponseHeaders, ResponseSink} from '../targets/target_client.js';
import {responseHeaders} from './http_headers.js';
import {CallerResult, resultHeaders, writeResult} from './result_headers.js';

/** A complete response that is held in memory. */
export interface BufferedResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

/** Options of {@link CallerResponse}. */
export interface CallerResponseOptions {
  requestId: string;
  /**
   * Number of bytes that are buffered until the response is complete. A longer
   * response is streamed. @default 65536
   */
  bufferLimit?: number;
  /**
   * Time in ms after which a response of unknown length is streamed even if it
   * is not complete. @default 100
   */
  maxBufferMs?: number;
}

/**
 * Forwards a target's response to a caller. A short response is buffered and
 * sent only once it is complete. A longer one is streamed; if it is truncated,
 * the caller's connection is closed, so that it never looks complete.
 */
export class CallerResponse implements ResponseSink {
  private status = 0;
  private headers: Record<string, string | string[]> = {};
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private isStreaming = false;
  private drainListener: (() => void) | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: CallerResponseOptions,
  ) {
    response.on('drain', () => this.drainListener?.());
  }

  /**
   * True once streaming to the caller has started, so that no retry is
   * possible.
   */
  get hasSentBytes(): boolean {
    return this.isStreaming;
  }

  begin(status: number, headers: ResponseHeaders): void {
    this.reset();
    this.status = status;
    this.headers = responseHeaders(headers);
    if (headers['content-length'] === undefined) {
      this.timer = setTimeout(
        () => this.startStreaming(),
        this.options.maxBufferMs ?? 100,
      );
    }
  }

  write(chunk: Buffer): boolean {
    if (this.isStreaming) return this.response.write(chunk);
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes <= (this.options.bufferLimit ?? 65_536)) return true;
    return this.startStreaming();
  }

  onDrain(listener: () => void): void {
    this.drainListener = listener;
  }

  /** Discards the buffered bytes of an attempt without a complete response. */
  reset(): void {
    clearTimeout(this.timer);
    this.chunks = [];
    this.bufferedBytes = 0;
  }

  /**
   * Ends a complete response.
   *
   * @returns The response if it was buffered completely.
   */
  complete(code: ResultCode = ResultCodes.OK): BufferedResponse | undefined {
    clearTimeout(this.timer);
    if (this.isStreaming) {
      this.response.end();
      return undefined;
    }
    const body = Buffer.concat(this.chunks);
    const buffered = {status: this.status, headers: this.headers, body};
    this.replay(buffered, code);
    return buffered;
  }

  /** Sends a complete response. */
  replay(buffered: BufferedResponse, code: ResultCode): void {
    const headers = {...buffered.headers};
    const hasLength = headers['content-length'] !== undefined;
    if (!hasLength && mayHaveBody(buffered.status)) {
      headers['content-length'] = String(buffered.body.length);
    }
    this.writeHead(buffered.status, headers, code);
    this.response.end(buffered.body);
  }

  /** Sends a result as JSON, or closes the connection if streaming started. */
  fail(result: CallerResult): void {
    clearTimeout(this.timer);
    writeResult(this.response, this.options.requestId, result);
  }

  private startStreaming(): boolean {
    clearTimeout(this.timer);
    this.isStreaming = true;
    this.writeHead(this.status, this.headers, ResultCodes.OK);
    this.response.flushHeaders();
    const buffered = Buffer.concat(this.chunks);
    this.chunks = [];
    return buffered.length === 0 || this.response.write(buffered);
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
