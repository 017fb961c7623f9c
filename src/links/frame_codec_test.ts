import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {encodeFrame, FrameDecoder, MAX_FRAME_BYTES} from './frame_codec.js';

test('decodes frames regardless of how the byte stream is split', () => {
  // Guards against frames that are lost or merged when TCP splits the stream
  // within a length prefix or a body.
  fc.assert(
    fc.property(
      fc.array(fc.jsonValue(), {maxLength: 8}),
      fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 20}),
      (values, sizes) => {
        const stream = Buffer.concat(values.map(encodeFrame));
        const decoder = new FrameDecoder();
        const decoded: unknown[] = [];
        let offset = 0;
        for (let index = 0; offset < stream.length; index++) {
          const size = sizes[index % sizes.length]!;
          decoded.push(...decoder.push(stream.subarray(offset, offset + size)));
          offset += size;
        }
        assert.deepEqual(
          decoded.map((value) => JSON.stringify(value)),
          values.map((value) => JSON.stringify(value)),
        );
      },
    ),
    {seed: 1, numRuns: 200},
  );
});

test('rejects a length prefix over the limit before buffering the body', () => {
  // Guards against a peer that exhausts memory by sending a large length prefix
  // without the data.
  const header = Buffer.alloc(4);
  header.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameDecoder().push(header), RangeError);
});
