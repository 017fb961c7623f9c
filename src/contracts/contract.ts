import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/, {
  message: 'allowed: 1 to 63 of a-z, 0-9 and "-"',
});

const fractionSchema = z.number().min(0).max(1);

const urgencyClassSchema = z.strictObject({
  /** Fraction of all slots guaranteed when other classes overload, 0 to 1. */
  floor: fractionSchema.default(0),
  /**
   * Largest number of waiting requests and jobs of this class in a data centre.
   */
  maxWaiting: z.int().min(0).max(1_000_000).default(1000),
  /** Deadline in ms for requests that do not set one. */
  timeoutMs: z.int().min(1).max(86_400_000).default(10_000),
});

const callerSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the caller's key in lower-case hex. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, {
    message: 'allowed: SHA-256 of the key as 64 hex digits',
  }),
});

/**
 * Contract that an operator sets up for a customer. All limits that apply to
 * the customer are derived from it.
 */
export const contractSchema = z.strictObject({
  customer: nameSchema,
  /** Weight relative to other customers, above 0. */
  share: z.number().positive().max(1000).default(1),
  /** Largest fraction of a data centre's worker resources, 0 to 1. */
  vmShare: fractionSchema.default(1),
  /** Performance objective of the customer. */
  optimizeFor: z
    .enum(['tail-latency', 'batch-throughput'])
    .default('tail-latency'),
  /** Services that the customer's callers may use. */
  services: z.array(nameSchema).default([]),
  callers: z.array(callerSchema).min(1),
  urgencies: z
    .strictObject({
      urgent: urgencyClassSchema.prefault({}),
      standard: urgencyClassSchema.prefault({}),
      batch: urgencyClassSchema.prefault({}),
    })
    .prefault({}),
  spill: z
    .strictObject({
      /** Data centres that may serve the customer when the local one is full. */
      dataCentres: z.array(nameSchema).default([]),
      /** Largest cost of a spilled request, as computed by `spillCost`. */
      maxCost: z.number().min(0).default(100),
    })
    .prefault({}),
  quota: z
    .strictObject({
      /** Largest number of tasks that run concurrently in a data centre. */
      runningTasks: z.int().min(0).default(100_000),
      /** Largest number of accelerators allocated in a data centre. */
      accelerators: z.int().min(0).default(100_000),
    })
    .prefault({}),
});

/** A validated contract with all defaults filled in. */
export type Contract = z.infer<typeof contractSchema>;
