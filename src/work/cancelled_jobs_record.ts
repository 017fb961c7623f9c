import {decode, encode} from 'cbor-x';
import {z} from 'zod';

import {listSchema} from '../validation/list_schema.js';

/** Maximum number of IDs in one stored list. */
export const MAX_CANCELLED_IDS = 16;

/** Maximum length of an ID. */
const MAX_ID_LENGTH = 100;

/** Cancellation of an ID under which no job was stored. */
export interface CancelledId {
  jobId: string;
  /** Differs with each cancellation of the ID. */
  cancellation: string;
}

const recordSchema = listSchema(
  z.object({
    jobId: z.string().max(MAX_ID_LENGTH),
    cancellation: z.string().max(MAX_ID_LENGTH),
  }),
  {most: MAX_CANCELLED_IDS},
);

/** Encodes a list of cancelled IDs as CBOR. */
export function encodeCancelledIds(ids: readonly CancelledId[]): Buffer {
  return encode(ids);
}

/**
 * Decodes the result of {@link encodeCancelledIds}.
 *
 * @throws Error if the value is not such a list.
 */
export function decodeCancelledIds(value: Buffer): CancelledId[] {
  return recordSchema.parse(decode(value));
}
