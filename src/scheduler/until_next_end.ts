import {ShardTask} from './shard_task.js';
import {ShardWorker} from './shard_worker.js';
import {TaskBook} from './task_book.js';

/** Shortest time in ms between two contacts while a caller waits. */
const ATTACHED_MS = 150;
/** Shortest time otherwise; each contact costs a report of all tasks. */
const DETACHED_MS = 1000;

/**
 * Estimates when the next task on a worker ends, so that its result and its
 * resources are noticed before the next renewal.
 *
 * @returns Time in ms; Infinity if no end is expected.
 */
export function untilNextEnd(
  book: TaskBook,
  worker: ShardWorker,
  nowMs: number,
): number {
  let nextMs = Infinity;
  for (const task of book.tasksOn(worker.worker)) {
    if (!task.place!.isSent) continue;
    nextMs = Math.min(nextMs, remainingMs(task, nowMs));
  }
  return nextMs;
}

function remainingMs(task: ShardTask, nowMs: number): number {
  const {job} = task.owner;
  const shortestMs = job.isAttached ? ATTACHED_MS : DETACHED_MS;
  return Math.max(shortestMs, estimateMs(task, nowMs));
}

function estimateMs(task: ShardTask, nowMs: number): number {
  const {progress, observed} = task;
  const {job} = task.owner;
  const gained = observed ? progress - observed.progress : 0;
  if (gained > 0) {
    return ((1 - progress) * (nowMs - observed!.atMs)) / gained;
  }
  if (job.runTimeMs > 0) return (1 - progress) * job.runTimeMs;
  return job.isAttached ? 0 : Infinity;
}
