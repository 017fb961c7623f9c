import {z} from 'zod';

const shardOwnerSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  epoch: z.int().min(1),
});

/** Shard owners of one role in one data centre; stored in the platform. */
export const ownershipRecordSchema = z.object({
  /** Increases with each record; becomes the epoch of newly assigned shards. */
  epoch: z.int().min(0),
  shards: z.record(z.string(), shardOwnerSchema),
});

/** A validated ownership record. */
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** The record before the first assignment. */
export const EMPTY_OWNERSHIP: OwnershipRecord = {epoch: 0, shards: {}};
