import {z} from 'zod';

/** Value of a claim in the platform. */
export const claimRecordSchema = z.object({
  /** Differs for each attempt to claim; tells whose write took effect. */
  attempt: z.string(),
  /** Entry that made the claim. */
  member: z.string(),
  incarnation: z.string(),
  /** Digest of the request that the key stands for. */
  fingerprint: z.string(),
  /** Wall-clock time of the claim in ms since the Unix epoch. */
  claimedWallMs: z.number(),
  /** Job that the key stands for. @default none */
  jobId: z.string().optional(),
});

/** A checked claim. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** A claim that this process holds. */
export interface HeldClaim {
  key: string;
  /** Revision of the platform at which the claim was written. */
  revision: number;
  record: ClaimRecord;
}

/** Result of an attempt to claim a key. */
export type ClaimResult =
  {kind: 'granted'; claim: HeldClaim} | {kind: 'taken'; record: ClaimRecord};
