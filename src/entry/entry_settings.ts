import {z} from 'zod';

import {operatorSchema} from '../operators/operator_schema.js';
import {processSettingsSchema} from '../settings/process_settings.js';

const limitsSchema = z.strictObject({
  /** Largest request head in bytes. */
  headerBytes: z.int().min(1024).max(1_048_576).default(16_384),
  /** Largest request body in bytes. */
  bodyBytes: z.int().min(0).max(17_179_869_184).default(67_108_864),
  /** Connections from callers open at once; more are closed at once. */
  connections: z.int().min(1).max(100_000).default(4000),
  /** Time in ms an idle connection of a caller stays open. */
  idleMs: z.int().min(100).max(3_600_000).default(30_000),
  /** Longest time in ms from the first to the last byte of a head. */
  headerTimeoutMs: z.int().min(50).max(600_000).default(10_000),
  /** Longest time in ms without a byte of a body that is expected. */
  bodyTimeoutMs: z.int().min(50).max(600_000).default(10_000),
  /** Longest deadline in ms that a caller may ask for. */
  timeoutMs: z.int().min(1).max(86_400_000).default(3_600_000),
  /** Part of a body in bytes that is read ahead and can be sent again. */
  replayBytes: z.int().min(0).max(16_777_216).default(65_536),
});

/** Settings of the entry program. */
export const entrySettingsSchema = processSettingsSchema.extend({
  entry: z
    .strictObject({
      /** Operators and the hashes of their tokens. */
      operators: z.array(operatorSchema).default([]),
      limits: limitsSchema.prefault({}),
      /** Attempts for one request, the first one included. */
      maxAttempts: z.int().min(1).max(10).default(3),
      /**
       * Time in ms between "not ready" and the refusal of new requests when
       * the process stops; the load balancer notices within it.
       */
      stopNoticeMs: z.int().min(0).max(60_000).default(1000),
      /** Seed of random choices; 0 takes one from the clock. */
      seed: z.int().min(0).default(0),
    })
    .prefault({}),
});

/** Checked settings of the entry program. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Limits on what callers send. */
export type EntryLimits = z.infer<typeof limitsSchema>;
