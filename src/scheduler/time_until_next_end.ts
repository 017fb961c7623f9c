import {ShardTask} from './shard_task.js';
import {ShardWorker} from './shard_worker.js';
import {TaskRegistry} from './task_registry.js';

/** Minimum interval in ms between contacts while a caller waits for a task. */
const MIN_ATTACHED_INTERVAL_MS = 150;
/**
 * Minimum interval in ms otherwise. It is longer because each contact costs a
 * report of all tasks of the worker.
 */
const MIN_DETACHED_INTERVAL_MS = 1000;

/**
 * Estimates the time until the next task on a worker ends. The worker can then
 * be contacted at that time, so that the result and the free resources are known
 * before the next lease renewal.
 *
 * @returns Time in ms; Infinity if no end is expected.
 */
export function timeUntilNextEnd(
  registry: TaskRegistry,
  worker: ShardWorker,
  nowMs: number,
): number {
  let nextMs = Infinity;
  for (const task of registry.tasksOn(worker.name)) {
    if (!task.assignment!.isSent) continue;
    nextMs = Math.min(nextMs, timeUntilContactMs(task, nowMs));
  }
  return nextMs;
}

function timeUntilContactMs(task: ShardTask, nowMs: number): number {
  const {job} = task.shardJob;
  const minIntervalMs = job.isAttached
    ? MIN_ATTACHED_INTERVAL_MS
    : MIN_DETACHED_INTERVAL_MS;
  return Math.max(minIntervalMs, estimateRemainingMs(task, nowMs));
}

function estimateRemainingMs(task: ShardTask, nowMs: number): number {
  const {progress, progressBaseline} = task;
  const {job} = task.shardJob;
  const progressMade = progressBaseline
    ? progress - progressBaseline.progress
    : 0;
  if (progressMade > 0) {
    return ((1 - progress) * (nowMs - progressBaseline!.atMs)) / progressMade;
  }
  if (job.runTimeMs > 0) return (1 - progress) * job.runTimeMs;
  return job.isAttached ? 0 : Infinity;
}
