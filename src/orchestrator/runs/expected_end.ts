import {TaskState} from './task_state.js';

/** Returns how long a run of a task is expected to take, in ms. */
export type RunDuration = (task: TaskState) => number;

/**
 * Returns when the run of a task is expected to end, in ms. One that has taken
 * longer than expected is taken to go on for half as long again.
 */
export function expectedEndMs(
  task: TaskState,
  duration: RunDuration,
  nowMs: number,
): number {
  const startedMs = Math.max(task.startedMs, task.assignedMs);
  if (startedMs === -Infinity) return nowMs + duration(task);
  const endMs = startedMs + duration(task);
  return endMs > nowMs ? endMs : nowMs + (nowMs - startedMs) / 2;
}
