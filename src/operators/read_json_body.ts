import {IncomingMessage} from 'node:http';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Largest body of an operator's request in bytes. */
const MAX_BYTES = 1024 * 1024;

/**
 * Reads a JSON body.
 *
 * @throws ResultError TOO_LARGE or BAD_REQUEST.
 */
export async function readJsonBody(message: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BYTES) {
      throw new ResultError(
        ResultCodes.TOO_LARGE,
        `Cannot read body: more than ${MAX_BYTES} bytes`,
      );
    }
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch (error) {
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot read body: ${(error as Error).message}`,
    );
  }
}
