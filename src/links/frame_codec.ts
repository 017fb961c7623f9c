import {Encoder} from 'cbor-x';

/** Size of the length prefix of a frame. */
const HEADER_BYTES = 4;

/** Maximum frame size. Platform values of up to 1 MB are sent in one frame. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

// With record extensions, decoding a frame would depend on record definitions
// in earlier frames of the same connection.
const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * Encodes a value as a length-prefixed CBOR frame.
 *
 * @param value - Value that CBOR can represent.
 * @returns The frame, including its length prefix.
 * @throws RangeError if the frame exceeds {@link MAX_FRAME_BYTES}.
 */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    throw new RangeError(
      `Cannot encode frame: ${body.length} bytes exceed the limit of ${MAX_FRAME_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Decodes frames from a byte stream; buffers at most one incomplete frame. */
export class FrameDecoder {
  /** Maximum size in bytes of the next frames. */
  limitBytes = MAX_FRAME_BYTES;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private expectedBytes: number | undefined;

  /**
   * Appends the next bytes of the stream.
   *
   * @param chunk - Bytes in the order received; may end within a frame.
   * @returns Decoded values of all frames that this chunk completes.
   * @throws RangeError if a length prefix exceeds {@link limitBytes}.
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
      values.push(encoder.decode(this.consume(this.expectedBytes)));
      this.expectedBytes = undefined;
    }
  }

  private readHeader(): number | undefined {
    if (this.bufferedBytes < HEADER_BYTES) return undefined;
    const length = this.consume(HEADER_BYTES).readUInt32BE(0);
    if (length > this.limitBytes) {
      throw new RangeError(
        `Cannot decode frame: ${length} bytes exceed the limit of ${this.limitBytes}`,
      );
    }
    return length;
  }

  private consume(length: number): Buffer {
    const all =
      this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    const rest = all.subarray(length);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return all.subarray(0, length);
  }
}
