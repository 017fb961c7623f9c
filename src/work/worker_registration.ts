import {TaskResources} from './job_definition.js';

/** A worker as its own registration describes it. */
export interface WorkerRegistration {
  id: string;
  service: string;
  /** Host and port. */
  address: string;
  dataCentre: string;
  isDraining: boolean;
  /** Shortest time in ms until a draining worker leaves. @default unknown */
  remainingMs: number | undefined;
  capacity: TaskResources;
  /** Kind and rack. */
  labels: readonly string[];
  /** Unix time in ms at which this life of the worker began. */
  bornMs: number;
}
