import {z} from 'zod';

/** Schema of a claim as stored in the platform. */
export const claimRecordSchema = z.object({
  /** Unique for each attempt; identifies whose write took effect. */
  attempt: z.string(),
  /** Member that made the claim. */
  member: z.string(),
  /** Incarnation of the member. */
  incarnation: z.string(),
  /** Digest of the request to which the key belongs. */
  fingerprint: z.string(),
  /** Wall-clock time of the claim in ms since the Unix epoch. */
  claimedWallMs: z.number(),
  /** Id of the job to which the key belongs. @default none */
  jobId: z.string().optional(),
});

/** A validated claim. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** A claim that this process holds. */
export interface HeldClaim {
  /** Key of the claim in the platform. */
  key: string;
  /** Platform revision at which the claim was written. */
  revision: number;
  record: ClaimRecord;
  /**
   * Whether an unanswered write of the claim may still be carried out, once the
   * claim is released.
   */
  mayReappear: boolean;
}

/** Result of an attempt to claim a key. */
export type ClaimResult =
  {kind: 'granted'; claim: HeldClaim} | {kind: 'taken'; record: ClaimRecord};
