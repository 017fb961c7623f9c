import {StepDefinition} from '../../work/job_definition.js';
import {JobState, OccurrenceState, StepState} from './job_state.js';

/**
 * Returns the expected duration in ms of a step.
 *
 * @param state - Its tasks in the occurrence concerned. @default not created
 */
export type StepDuration = (step: StepDefinition, state?: StepState) => number;

/** Duration of a step as its job declares it. */
export const declaredDuration: StepDuration = ({estimatedMs}) => estimatedMs;

/** Returns the estimated duration in ms of the critical path of a job. */
export function totalCriticalPathMs(
  job: JobState,
  duration: StepDuration = declaredDuration,
): number {
  // Occurrences have the same steps: one that exists tells about all.
  const [occurrence] = job.occurrences.values();
  const options = {duration, occurrence, isDone: () => false};
  return computeCriticalPathMs(job, options);
}

/** Returns the estimated duration in ms of the critical path still to run. */
export function remainingCriticalPathMs(
  job: JobState,
  duration: StepDuration = declaredDuration,
): number {
  let longestMs = 0;
  for (const occurrence of job.occurrences.values()) {
    if (occurrence.isDone) continue;
    const pathMs = computeCriticalPathMs(job, {
      duration,
      occurrence,
      isDone: (step) => isStepDone(occurrence, step),
    });
    longestMs = Math.max(longestMs, pathMs);
  }
  return longestMs;
}

function computeCriticalPathMs(
  job: JobState,
  options: {
    duration: StepDuration;
    occurrence: OccurrenceState | undefined;
    isDone: (step: number) => boolean;
  },
): number {
  const {duration, occurrence, isDone} = options;
  const ends: number[] = [];
  job.definition.steps.forEach((definition, step) => {
    const {after} = definition;
    // Lists from callers may be too long to be passed as arguments.
    const startMs = after.reduce(
      (latestMs, earlier) => Math.max(latestMs, ends[earlier] ?? 0),
      0,
    );
    const state = occurrence?.steps[step];
    ends.push(startMs + (isDone(step) ? 0 : duration(definition, state)));
  });
  return ends.reduce((latestMs, endMs) => Math.max(latestMs, endMs), 0);
}

function isStepDone(occurrence: OccurrenceState, step: number): boolean {
  const state = occurrence.steps[step];
  return state !== undefined && state.doneCount === state.tasks.length;
}
