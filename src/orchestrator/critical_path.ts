import {JobState, OccurrenceState} from './job_state.js';

/** Returns the estimated duration in ms of the critical path of a job. */
export function totalCriticalPathMs(job: JobState): number {
  job.criticalPathMs ??= computeCriticalPathMs(job, () => false);
  return job.criticalPathMs;
}

/** Returns the estimated duration in ms of the critical path still to run. */
export function remainingCriticalPathMs(job: JobState): number {
  let longestMs = 0;
  for (const occurrence of job.occurrences.values()) {
    if (occurrence.isDone) continue;
    const pathMs = computeCriticalPathMs(job, (step) =>
      isStepDone(occurrence, step),
    );
    longestMs = Math.max(longestMs, pathMs);
  }
  return longestMs;
}

function computeCriticalPathMs(
  job: JobState,
  isDone: (step: number) => boolean,
): number {
  const ends: number[] = [];
  job.definition.steps.forEach(({after, estimatedMs}, step) => {
    // Lists from callers may be too long to be passed as arguments.
    const startMs = after.reduce(
      (latestMs, earlier) => Math.max(latestMs, ends[earlier] ?? 0),
      0,
    );
    ends.push(startMs + (isDone(step) ? 0 : estimatedMs));
  });
  return ends.reduce((latestMs, endMs) => Math.max(latestMs, endMs), 0);
}

function isStepDone(occurrence: OccurrenceState, step: number): boolean {
  const state = occurrence.steps[step];
  return state !== undefined && state.doneCount === state.tasks.length;
}
