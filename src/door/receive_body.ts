import {IncomingMessage} from 'node:http';

import {HeldShare} from './held_bytes.js';

/** Outcome of the reception of a body. */
export type ReceivedBody =
  | {kind: 'complete'; body: Buffer}
  /** Exceeds the limit; the rest of it is read and dropped. */
  | {kind: 'too-large'}
  /** No memory is left for it; the rest of it is read and dropped. */
  | {kind: 'no-memory'}
  /** The client left, or the connection was closed to make room. */
  | {kind: 'aborted'};

/** First size of the buffer of a body whose length is not declared. */
const FIRST_BUFFER_BYTES = 4096;

/**
 * Multiple of the limit up to which the rest of a body that is refused is read,
 * so that the client sees the response and not a reset connection.
 */
const DROPPED_LIMIT_MULTIPLE = 4;

/**
 * Receives the body of a request into one buffer. Pieces are copied, because a
 * buffer of its own for each small piece costs many times its size.
 *
 * @param share - Charged with the buffer; the caller releases it.
 * @param options.limitBytes - Maximum size of the body in bytes.
 */
export function receiveBody(
  request: IncomingMessage,
  share: HeldShare,
  {limitBytes}: {limitBytes: number},
): Promise<ReceivedBody> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > limitBytes) {
    dropBody(request, limitBytes);
    return Promise.resolve({kind: 'too-large'});
  }
  return new Promise((resolve) => {
    const body = new GrowingBuffer(share, {declaredBytes, limitBytes});
    const end = (outcome: ReceivedBody): void => {
      request.off('data', onData);
      share.complete();
      resolve(outcome);
    };
    const onData = (piece: Buffer): void => {
      const problem = body.append(piece);
      if (problem === undefined) return;
      end({kind: problem});
      share.release();
      dropBody(request, limitBytes);
    };
    request.on('data', onData);
    request.once('end', () => end({kind: 'complete', body: body.content}));
    request.once('error', () => end({kind: 'aborted'}));
    request.once('close', () => end({kind: 'aborted'}));
  });
}

/** Reads and drops the body of a request, up to a multiple of the limit. */
export function dropBody(request: IncomingMessage, limitBytes: number): void {
  let dropped = 0;
  request.on('data', (piece: Buffer) => {
    dropped += piece.length;
    if (dropped > DROPPED_LIMIT_MULTIPLE * limitBytes) request.destroy();
  });
  request.on('error', () => undefined);
}

/** Buffer that grows with what is received and is charged to a share. */
class GrowingBuffer {
  private buffer = Buffer.alloc(0);
  private length = 0;

  constructor(
    private readonly share: HeldShare,
    private readonly options: {declaredBytes: number; limitBytes: number},
  ) {}

  get content(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Appends a piece; returns why that is not possible. */
  append(piece: Buffer): 'too-large' | 'no-memory' | undefined {
    const length = this.length + piece.length;
    if (length > this.options.limitBytes) return 'too-large';
    if (length > this.buffer.length && !this.enlarge(length)) {
      return 'no-memory';
    }
    piece.copy(this.buffer, this.length);
    this.length = length;
    return undefined;
  }

  /** Doubles the buffer, up to the declared length or the limit. */
  private enlarge(neededBytes: number): boolean {
    const {declaredBytes, limitBytes} = this.options;
    const wantedBytes = Math.max(
      neededBytes,
      2 * this.buffer.length,
      FIRST_BUFFER_BYTES,
    );
    const mostBytes = declaredBytes > 0 ? declaredBytes : limitBytes;
    const size = Math.max(neededBytes, Math.min(wantedBytes, mostBytes));
    if (!this.share.grow(size - this.buffer.length)) return false;
    const larger = Buffer.allocUnsafeSlow(size);
    this.buffer.copy(larger, 0, 0, this.length);
    this.buffer = larger;
    return true;
  }
}
