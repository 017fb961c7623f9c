import {TaskResources} from './job_definition.js';

/** Registration that a worker publishes about itself. */
export interface WorkerRegistration {
  id: string;
  service: string;
  /** Host and port. */
  address: string;
  dataCentre: string;
  isDraining: boolean;
  /** Minimum time in ms until a draining worker leaves. @default unknown */
  remainingMs: number | undefined;
  capacity: TaskResources;
  /** Kind of the worker, followed by its rack. */
  labels: readonly string[];
  /** Unix time in ms at which this incarnation of the worker started. */
  bornMs: number;
}
