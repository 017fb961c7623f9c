import {z} from 'zod';

import {processSettingsSchema} from '../settings/process_settings.js';

/** Settings of the scheduler program. */
export const schedulerSettingsSchema = processSettingsSchema.extend({
  scheduler: z
    .strictObject({
      /** Total page writes per second of the schedulers of the data centre. */
      pageWritesPerSecond: z.number().positive().max(500).default(15),
      /** Interval in ms at which each shard checks for due work. */
      tickMs: z.int().min(10).max(1000).default(50),
      /** Time limit in ms for a response of a worker. */
      workerTimeoutMs: z.int().min(50).max(60_000).default(1500),
      /** Time limit in ms for open requests when the process stops. */
      stopAttachedMs: z.int().min(0).max(600_000).default(10_000),
      /** Seed of the random number generator; 0 uses the clock. */
      seed: z.int().min(0).default(0),
    })
    .prefault({}),
});

/** Validated settings of the scheduler program. */
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
