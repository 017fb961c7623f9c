import {z} from 'zod';

import {operatorSchema} from '../operators/operator_schema.js';
import {processSettingsSchema} from '../settings/process_settings.js';

const limitsSchema = z.strictObject({
  /** Maximum size of a request head in bytes. */
  headerBytes: z.int().min(1024).max(1_048_576).default(16_384),
  /** Maximum size of a request body in bytes. */
  bodyBytes: z.int().min(0).max(17_179_869_184).default(67_108_864),
  /** Maximum number of caller connections; further ones are closed. */
  connections: z.int().min(1).max(100_000).default(4000),
  /** Time in ms after which an idle connection of a caller is closed. */
  idleMs: z.int().min(100).max(3_600_000).default(30_000),
  /** Maximum time in ms from the first to the last byte of a request head. */
  headerTimeoutMs: z.int().min(50).max(600_000).default(10_000),
  /** Maximum time in ms between received bytes of a request body. */
  bodyTimeoutMs: z.int().min(50).max(600_000).default(10_000),
  /** Maximum timeout in ms that a caller may request. */
  timeoutMs: z.int().min(1).max(86_400_000).default(3_600_000),
  /** Number of body bytes that are buffered, so that they can be resent. */
  replayBytes: z.int().min(0).max(16_777_216).default(65_536),
});

/** Settings of the entry program. */
export const entrySettingsSchema = processSettingsSchema.extend({
  entry: z
    .strictObject({
      /** Operators with the hashes of their tokens. */
      operators: z.array(operatorSchema).default([]),
      limits: limitsSchema.prefault({}),
      /** Maximum number of attempts per request, including the first. */
      maxAttempts: z.int().min(1).max(10).default(3),
      /**
       * Time in ms between failing the readiness check and refusing new
       * requests at shutdown, in which the load balancer removes the entry.
       */
      stopNoticeMs: z.int().min(0).max(60_000).default(1000),
      /** Seed of the random generator; 0 derives one from the clock. */
      seed: z.int().min(0).default(0),
    })
    .prefault({}),
});

/** Validated settings of the entry program. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Limits on requests and connections of callers. */
export type EntryLimits = z.infer<typeof limitsSchema>;
