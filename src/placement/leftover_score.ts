import {ResourceAmounts} from './resource_amounts.js';
import {WorkerRecord} from './worker_record.js';

/** Weight of accelerators, to keep them free for work that needs them. */
const ACCELERATOR_WEIGHT = 2;

/**
 * Returns the fraction of a worker that would stay free after a placement,
 * summed over its resources. Lower means a tighter fit.
 *
 * @returns 0 if the task fills the worker exactly.
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
