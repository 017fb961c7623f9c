import {z} from 'zod';

/** An operator's plan to stop a VM or a target. */
export const plannedStopSchema = z.strictObject({
  /** Name of the VM or target. */
  name: z.string().min(1),
  /** Time in ms since the Unix epoch from which it accepts no new work. */
  fromWallMs: z.int().min(0),
  /** Time in ms in which running work may finish or checkpoint. */
  windowMs: z.int().min(0).max(86_400_000).default(60_000),
  reason: z.string().max(500).default(''),
});

/** A validated planned stop. */
export type PlannedStop = z.infer<typeof plannedStopSchema>;
