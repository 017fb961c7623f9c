import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';

/** A task that needs a worker. */
export interface PlacementRequest {
  taskId: string;
  customer: string;
  /** Kind of work, for example 'catalogue-render'. */
  kind: string;
  urgency: Urgency;
  /** Resources to commit; never less than what is committed on the worker. */
  resources: Resources;
  /** Replicas of one job are spread; tasks of the same group avoid each other. */
  spreadGroup?: string;
  /** Workers that must not be used. @default none */
  excludedWorkers?: ReadonlySet<string>;
  /** Declared or learned run time in ms; 0 if the task has no end. */
  runTimeMs: number;
  /** Value of the work to its customer, for the choice of victims. */
  value: number;
}

/** A task that is committed on a worker. */
export interface CommittedTask extends PlacementRequest {
  worker: string;
  /** Work in ms that an eviction would lose. */
  lostWorkMs: number;
}

/** A worker as placement sees it. */
export interface PlacementWorker {
  worker: string;
  rack: string;
  capacity: Resources;
}

/** Where a task goes. */
export interface Placement {
  worker: string;
  reason: string;
  /** Tasks that have to be stopped first, cheapest way. */
  victims: readonly string[];
  passedOver: ReadonlyArray<{candidate: string; reason: string}>;
}
