import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';

/** A task to be placed on a worker. */
export interface PlacementRequest {
  taskId: string;
  customer: string;
  /** Kind of work, for example 'catalogue-render'. */
  kind: string;
  urgency: Urgency;
  /** Resources to commit; never less than what the worker enforces. */
  resources: Resources;
  /**
   * Group whose tasks are spread over racks and workers, such as the replicas
   * of one job.
   */
  spreadGroup?: string;
  /** Workers that must not be used. @default none */
  excludedWorkers?: ReadonlySet<string>;
  /** Declared or estimated run time in ms; 0 if the task has no end. */
  runTimeMs: number;
  /** Value of the work to its customer; raises the cost of evicting it. */
  value: number;
}

/** A task that is committed on a worker. */
export interface CommittedTask extends PlacementRequest {
  worker: string;
  /** Work in ms that an eviction would lose. */
  lostWorkMs: number;
}

/** Properties of a worker that matter for placement. */
export interface PlacementWorker {
  worker: string;
  rack: string;
  capacity: Resources;
}

/** Result of a placement decision. */
export interface Placement {
  worker: string;
  /** Why the worker was chosen, for the decision log. */
  reason: string;
  /** Tasks that have to be evicted first; the cheapest set that was found. */
  victims: readonly string[];
  /** Candidates that were rejected, each with the reason. */
  passedOver: ReadonlyArray<{candidate: string; reason: string}>;
}
