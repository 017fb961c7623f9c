import {Evacuation} from './evacuation_list.js';

/** An evacuated data centre in an {@link EvacuationsResponse}. */
export interface EvacuatedDataCentre extends Evacuation {
  /**
   * Number of tasks that still run there. @default known to the owner only
   */
  runningTasks?: number;
}

/** Body of the response to `GET /evacuations` on the metrics address. */
export interface EvacuationsResponse {
  /** Node that responded. */
  node: string;
  /** Node that owns the partition. @default not known */
  owner?: string;
  evacuations: EvacuatedDataCentre[];
}
