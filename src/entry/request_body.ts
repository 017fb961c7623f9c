import {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link RequestBody.read}. */
export interface RequestBodyOptions {
  /** Number of bytes that are buffered, so that they can be resent. */
  replayBytes: number;
  /** Maximum size of a body in bytes. */
  maxBytes: number;
  /** Maximum wait in ms for the next bytes. */
  timeoutMs: number;
}

/**
 * Body of a caller's request. A small body is buffered completely, so that a
 * slow caller occupies no slot of a target and the request can be resent. The
 * rest of a large body is streamed, which is possible once.
 */
export class RequestBody {
  private isOpened = false;

  private constructor(
    private readonly prefix: Buffer,
    private readonly rest: Readable | undefined,
  ) {}

  /**
   * Reads and buffers the start of a body, or all of a small one.
   *
   * @throws ResultError TOO_LARGE or BAD_REQUEST.
   */
  static async read(
    message: IncomingMessage,
    options: RequestBodyOptions,
  ): Promise<RequestBody> {
    const declared = Number(message.headers['content-length'] ?? 0);
    if (declared > options.maxBytes) throw tooLarge(options.maxBytes);
    const hasBody =
      declared > 0 || message.headers['transfer-encoding'] !== undefined;
    if (!hasBody) return new RequestBody(Buffer.alloc(0), undefined);
    const source = new LimitedBodyReader(message, options);
    const chunks: Buffer[] = [];
    let bytesRead = 0;
    while (bytesRead <= options.replayBytes) {
      const chunk = await source.next();
      if (!chunk) return new RequestBody(Buffer.concat(chunks), undefined);
      chunks.push(chunk);
      bytesRead += chunk.length;
    }
    const prefix = Buffer.concat(chunks);
    return new RequestBody(prefix, streamOf(prefix, source));
  }

  /** True if {@link open} may be called now. */
  get canOpen(): boolean {
    return this.rest === undefined || !this.isOpened;
  }

  /** The complete body if it is buffered. */
  get buffered(): Buffer | undefined {
    return this.rest === undefined ? this.prefix : undefined;
  }

  /** Returns the body to send; a streamed body can be opened once. */
  open(): Buffer | Readable | undefined {
    this.isOpened = true;
    if (this.rest) return this.rest;
    return this.prefix.length > 0 ? this.prefix : undefined;
  }
}

function tooLarge(maxBytes: number): ResultError {
  return new ResultError(
    ResultCodes.TOO_LARGE,
    `Cannot accept body: it exceeds the limit of ${maxBytes} bytes`,
  );
}

/** Reads the chunks of a body with limits on its size and on each wait. */
class LimitedBodyReader {
  private readonly iterator: AsyncIterator<Buffer>;
  private bytes = 0;

  constructor(
    message: IncomingMessage,
    private readonly options: RequestBodyOptions,
  ) {
    // The message stays open, so that a response can still be sent.
    this.iterator = message.iterator({
      destroyOnReturn: false,
    }) as AsyncIterator<Buffer>;
  }

  async next(): Promise<Buffer | undefined> {
    const {timeoutMs, maxBytes} = this.options;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => reject(bodyStalled(timeoutMs)), timeoutMs);
    });
    try {
      const step = await Promise.race([this.iterator.next(), timeout]).catch(
        (error: Error) => {
          throw error instanceof ResultError ? error : invalidBody(error);
        },
      );
      if (step.done) return undefined;
      this.bytes += step.value.length;
      if (this.bytes > maxBytes) throw tooLarge(maxBytes);
      return step.value;
    } finally {
      clearTimeout(timer);
    }
  }
}

function invalidBody(cause: Error): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot read body: ${cause.message}`,
    {cause},
  );
}

function bodyStalled(timeoutMs: number): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot read body: received no bytes within ${timeoutMs} ms`,
  );
}

function streamOf(prefix: Buffer, source: LimitedBodyReader): Readable {
  async function* chunks(): AsyncGenerator<Buffer> {
    yield prefix;
    for (;;) {
      const chunk = await source.next();
      if (!chunk) return;
      yield chunk;
    }
  }
  return Readable.from(chunks(), {objectMode: false});
}
