import {JobState, OccurrenceState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';

/** Reasons for which no worker is searched for a step. */
export const StepHold = {
  DONE: 'done',
  PREDECESSORS: 'predecessors',
  /** No task waits for a worker: each has an assignment or is done. */
  NOTHING_WAITING: 'nothing-waiting',
  /** A member of the gang still has an assignment; members start together. */
  GANG_ACTIVE: 'gang-active',
  /** All waiting tasks are delayed after refused starts. */
  START_DELAYED: 'start-delayed',
  /** As many starts are open as the owner may have for such jobs. */
  START_LIMIT: 'start-limit',
} as const;

/** One of the values of {@link StepHold}. */
export type StepHold = (typeof StepHold)[keyof typeof StepHold];

/**
 * Returns why no worker is searched for a step of an occurrence at a time in ms;
 * undefined if one is.
 */
export function holdOf(
  job: JobState,
  {occurrence, step: number}: {occurrence: OccurrenceState; step: number},
  nowMs: number,
): StepHold | undefined {
  const {tasks, doneCount} = occurrence.steps[number]!;
  if (doneCount === tasks.length) return StepHold.DONE;
  if (!job.isStepReady(occurrence, number)) return StepHold.PREDECESSORS;
  const {isGang} = tasks[0]!.step;
  if (isGang && tasks.some(({state}) => state !== 'waiting')) {
    return StepHold.GANG_ACTIVE;
  }
  if (tasks.some((task) => isDue(task, nowMs))) return undefined;
  return tasks.some(({state}) => state === 'waiting')
    ? StepHold.START_DELAYED
    : StepHold.NOTHING_WAITING;
}

/** Returns whether a task waits and may be assigned at a time in ms. */
export function isDue(task: TaskState, nowMs: number): boolean {
  return task.state === 'waiting' && task.notBeforeMs <= nowMs;
}
