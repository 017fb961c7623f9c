import {Urgency} from '../contracts/urgency.js';
import {PlacementRequest} from './placement_request.js';
import {WorkerRecord} from './worker_record.js';

/** Neighbours that are looked at; more would make a decision slower. */
const MOST_NEIGHBOURS = 24;

/** A slowdown of urgent work breaks promises; one of batch work costs time. */
const WEIGHTS: Readonly<Record<Urgency, number>> = {
  [Urgency.URGENT]: 4,
  [Urgency.STANDARD]: 1.5,
  [Urgency.BATCH]: 1,
};

/** Options of {@link neighbourCost}. */
export interface NeighbourCostOptions {
  request: PlacementRequest;
  /** Slowdown of a kind by one neighbour of another kind; 1 means none. */
  slowdown: (kind: string, neighbour: string) => number;
}

/**
 * Cost of the slowdowns that a task would suffer from the tasks of a worker
 * and cause to them.
 */
export function neighbourCost(
  record: WorkerRecord,
  options: NeighbourCostOptions,
): number {
  const {request, slowdown} = options;
  const ownWeight = WEIGHTS[request.urgency];
  let cost = 0;
  let left = MOST_NEIGHBOURS;
  for (const {task} of record.tasks) {
    if (left-- <= 0) break;
    cost +=
      ownWeight * (slowdown(request.kind, task.kind) - 1) +
      WEIGHTS[task.urgency] * (slowdown(task.kind, request.kind) - 1);
  }
  return cost;
}
