import {ResourceAmounts} from './resource_amounts.js';
import {WorkerRecord} from './worker_record.js';

/** Keeps accelerators free for work that needs them. */
const ACCELERATOR_WEIGHT = 2;

/**
 * Part of a worker that would stay free, summed over its resources.
 *
 * @returns 0 if the task fills the worker exactly, more if more is left over.
 */
export function leftoverScore(
  record: WorkerRecord,
  need: ResourceAmounts,
): number {
  const {free, capacity} = record;
  const processors = (free.processors - need.processors) / capacity.processors;
  const memory = (free.memory - need.memory) / capacity.memory;
  if (capacity.accelerators === 0) return processors + memory;
  const accelerators =
    (free.accelerators - need.accelerators) / capacity.accelerators;
  return processors + memory + ACCELERATOR_WEIGHT * accelerators;
}
