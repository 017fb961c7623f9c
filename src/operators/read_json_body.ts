import {IncomingMessage} from 'node:http';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Largest allowed body of an operator's request in bytes. */
const MAX_BODY_BYTES = 1024 * 1024;

/**
 * Reads and parses the JSON body of an operator's request.
 *
 * @throws ResultError TOO_LARGE if the body is larger than 1 MiB; BAD_REQUEST
 *     if it is not valid JSON.
 */
export async function readJsonBody(message: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  for await (const chunk of message) {
    chunks.push(chunk as Buffer);
    totalBytes += (chunk as Buffer).length;
    if (totalBytes > MAX_BODY_BYTES) {
      throw new ResultError(
        ResultCodes.TOO_LARGE,
        `Cannot read request body: more than ${MAX_BODY_BYTES} bytes`,
      );
    }
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch (error) {
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot parse request body: ${(error as Error).message}`,
    );
  }
}
