import {stepOf} from '../placement/task_scheduler.js';
import {TaskState} from './task_state.js';

/**
 * Counts a failed run. The run of a gang counts once, under the first member
 * that fails.
 */
export function countFailure(task: TaskState): void {
  const step = stepOf(task);
  if (task.step.isGang && step.failedRun >= task.run) return;
  step.failedRun = task.run;
  task.failures += 1;
}

/** Returns how often a task, or the gang that it belongs to, has failed. */
export function countFailedRuns(task: TaskState): number {
  if (!task.step.isGang) return task.failures;
  return stepOf(task).tasks.reduce((sum, {failures}) => sum + failures, 0);
}
