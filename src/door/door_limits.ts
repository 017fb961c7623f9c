import {z} from 'zod';

import {MAX_JOB_TASKS} from '../work/job_size.js';

const count = z.int().min(1).max(1_000_000);
const bytes = z.int().min(1024).max(1_073_741_824);

/** Settings that bound what clients of a node can hold. */
export const doorLimitsSchema = z.strictObject({
  /** Open connections to the job API; a tenth at other addresses. */
  mostConnections: count.default(1000),
  /** Size of a header section in bytes. */
  mostHeaderBytes: bytes.default(8192),
  /** Header fields that are kept. */
  mostHeaders: count.default(100),
  /** Time in ms in which a request has to be received. */
  receiveTimeoutMs: z.number().positive().max(3_600_000).default(60_000),
  /** Bytes of bodies that all requests together hold. */
  heldBytes: bytes.default(16_777_216),
  /** Requests on one connection that have no response yet. */
  mostAhead: count.default(32),
  /** Requests in service at the same time. */
  mostInService: count.default(400),
  /** Values in the JSON text of one body. */
  mostJsonValues: count.default(20_000),
  /** Steps of one job. */
  mostSteps: count.default(1000),
  /** Tasks of one job, or of one occurrence of a scheduled job. */
  mostTasks: count.max(MAX_JOB_TASKS).default(10_000),
  /** Bytes that the definitions of all known jobs may take on a node. */
  mostJobBytes: bytes.default(33_554_432),
});

/** Validated limits of the door of a node. */
export type DoorLimits = z.infer<typeof doorLimitsSchema>;

/** Limits with which a node runs if its settings name none. */
export const DEFAULT_DOOR_LIMITS: DoorLimits = doorLimitsSchema.parse({});
