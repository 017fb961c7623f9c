import {z} from 'zod';

import {listSchema} from '../validation/list_schema.js';
import {SubmissionRecord} from './job_records.js';
import {MAX_JOB_TASKS} from './job_size.js';

const amount = z.number().nonnegative();
const optionalText = z.string().optional();

/** Fields that later builds add are kept. */
const stepSchema = z.looseObject({
  taskCount: z.int().min(1).max(MAX_JOB_TASKS),
  cpuMillicores: amount,
  memoryMb: amount,
  acceleratorCount: amount,
  estimatedMs: amount,
  after: listSchema(z.int().nonnegative()),
  isCheckpointed: z.boolean(),
  isGang: z.boolean(),
  isRackSensitive: z.boolean(),
  requiredLabel: optionalText,
  affinityRack: optionalText,
  mostPerWorker: amount,
  isSpeculative: z.boolean(),
  isLongRunning: z.boolean(),
  image: optionalText,
  tailTargetMs: amount,
  usesLeftoverCpu: z.boolean(),
  mostUnavailable: z.number().optional(),
});

const termsSchema = z.looseObject({
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: amount,
  targetLatencyMs: amount,
  needsAdvice: z.boolean(),
});

function hasTasksThatFit(steps: ReadonlyArray<{taskCount: number}>): boolean {
  const tasks = steps.reduce((sum, {taskCount}) => sum + taskCount, 0);
  return tasks <= MAX_JOB_TASKS;
}

/** Schema of the stored submission of a job. */
export const submissionSchema = z.looseObject({
  definition: z.looseObject({
    id: z.string(),
    queue: z.string(),
    service: z.string(),
    terms: termsSchema.optional(),
    specification: z.string(),
    steps: listSchema(stepSchema, {least: 1}).refine(
      hasTasksThatFit,
      `expected at most ${MAX_JOB_TASKS} tasks`,
    ),
    repetitions: amount,
    firstRunMs: amount,
    intervalMs: amount,
  }),
  acceptedWallMs: z.number(),
}) as unknown as z.ZodType<SubmissionRecord>;
