import {JobDefinition, StepDefinition} from './job_definition.js';

/**
 * Maximum number of tasks of a job, or of one of its occurrences. Tasks take
 * about 1 KB each, and more do not fit the heap of an owner.
 */
export const MAX_JOB_TASKS = 100_000;

/** Limits on the size of jobs, and of all jobs together. */
export interface JobSizeLimits {
  /** Steps of one job. */
  mostSteps: number;
  /** Tasks of one job, or of one occurrence of a scheduled job. */
  mostTasks: number;
  /** Bytes that the definitions of all known jobs may take. */
  mostJobBytes: number;
}

/** Estimated memory in bytes of a job without steps, and of one step. */
const JOB_BYTES = 500;
const STEP_BYTES = 600;
const PREDECESSOR_BYTES = 8;

/** Returns the estimated memory in bytes of a definition. */
export function definitionBytes(definition: JobDefinition): number {
  const {specification, steps} = definition;
  return steps.reduce(
    (sum, step) => sum + stepBytes(step),
    JOB_BYTES + specification.length,
  );
}

function stepBytes(step: StepDefinition): number {
  const {after, image = '', requiredLabel = '', affinityRack = ''} = step;
  const texts = image.length + requiredLabel.length + affinityRack.length;
  return STEP_BYTES + PREDECESSOR_BYTES * after.length + texts;
}

/** Returns the number of tasks of a job, or of one of its occurrences. */
export function countTasks({steps}: JobDefinition): number {
  return steps.reduce((sum, {taskCount}) => sum + taskCount, 0);
}
