import {z} from 'zod';

import {URGENCIES} from '../contracts/urgency.js';

/** Schema of a job in a `submit` message. */
export const jobSchema = z.object({
  /** Chosen by the submitter; repeated submissions with this id are one job. */
  id: z.string().min(1).max(200),
  customer: z.string().min(1),
  caller: z.string().default(''),
  /** Kind of work, for example 'catalogue-render'. */
  kind: z.string().min(1).max(100),
  urgency: z.enum(URGENCIES as [string, ...string[]]).default('batch'),
  /** Resources of each task. */
  resources: z.object({
    processors: z.number().positive(),
    memoryMegabytes: z.number().min(0),
    accelerators: z.int().min(0).default(0),
  }),
  /** Number of tasks. */
  count: z.int().min(1).max(1000).default(1),
  /** Declared run time in ms; 0 if the tasks have no end. */
  runTimeMs: z.number().min(0).default(0),
  /** Value of the work to its customer; raises the cost of evicting it. */
  value: z.number().min(0).default(1),
  /** Description of the work to run; opaque to the scheduler. */
  payload: z.unknown().optional(),
  /**
   * True if the caller waits for the result. Such a job is kept in the memory
   * of the shard owner only.
   */
  isAttached: z.boolean().default(false),
});

/** A job as submitted by a customer. */
export type Job = z.infer<typeof jobSchema>;
