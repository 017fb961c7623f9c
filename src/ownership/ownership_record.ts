import {z} from 'zod';

const shardOwnerSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  epoch: z.int().min(1),
});

/** Who owns each shard of a role in a data centre; kept in the platform. */
export const ownershipRecordSchema = z.object({
  /** Increases with each record; the epoch of newly assigned shards. */
  epoch: z.int().min(0),
  shards: z.record(z.string(), shardOwnerSchema),
});

/** A checked ownership record. */
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** Record before the first assignment. */
export const EMPTY_OWNERSHIP: OwnershipRecord = {epoch: 0, shards: {}};
