import {z} from 'zod';

import {processSettingsSchema} from '../settings/process_settings.js';

/** Settings of the scheduler program. */
export const schedulerSettingsSchema = processSettingsSchema.extend({
  scheduler: z
    .strictObject({
      /** Page writes per second of all schedulers of the data centre. */
      pageWritesPerSecond: z.number().positive().max(500).default(15),
      /** Time in ms between two checks of what is due. */
      tickMs: z.int().min(10).max(1000).default(50),
      /** Longest wait in ms for the answer of a worker. */
      workerTimeoutMs: z.int().min(50).max(60_000).default(1500),
      /** Longest wait in ms for attached tasks when the process stops. */
      stopAttachedMs: z.int().min(0).max(600_000).default(10_000),
      /** Seed of random choices; 0 takes one from the clock. */
      seed: z.int().min(0).default(0),
    })
    .prefault({}),
});

/** Checked settings of the scheduler program. */
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
