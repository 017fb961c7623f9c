import {Encoder} from 'cbor-x';

/** Bytes of the length that precedes each frame. */
const HEADER_BYTES = 4;

/** Largest frame; platform values are at most 1 MB and travel in one frame. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

// Records would make frames depend on earlier ones of the same connection.
const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * Encodes a value as a length-prefixed CBOR frame.
 *
 * @param value - Value to send.
 * @returns The bytes of the frame.
 * @throws RangeError if the frame exceeds {@link MAX_FRAME_BYTES}.
 */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    throw new RangeError(
      `Cannot encode frame: ${body.length} bytes exceed ${MAX_FRAME_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Splits a byte stream into frames; holds at most one incomplete frame. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private expectedBytes: number | undefined;

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - Bytes as they arrived.
   * @returns The values of the frames that are now complete.
   * @throws RangeError if a frame announces more than {@link MAX_FRAME_BYTES}.
   * @throws Error if a frame is not valid CBOR.
   */
  push(chunk: Buffer): unknown[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const values: unknown[] = [];
    for (;;) {
      this.expectedBytes ??= this.readHeader();
      if (
        this.expectedBytes === undefined ||
        this.bufferedBytes < this.expectedBytes
      ) {
        return values;
      }
      values.push(encoder.decode(this.take(this.expectedBytes)));
      this.expectedBytes = undefined;
    }
  }

  private readHeader(): number | undefined {
    if (this.bufferedBytes < HEADER_BYTES) return undefined;
    const length = this.take(HEADER_BYTES).readUInt32BE(0);
    if (length > MAX_FRAME_BYTES) {
      throw new RangeError(
        `Cannot decode frame: ${length} bytes exceed ${MAX_FRAME_BYTES}`,
      );
    }
    return length;
  }

  private take(length: number): Buffer {
    const all =
      this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    const rest = all.subarray(length);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return all.subarray(0, length);
  }
}
