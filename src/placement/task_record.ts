import {CommittedTask} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';
import type {WorkerRecord} from './worker_record.js';

/** A committed task with the units that were subtracted from its worker. */
export interface TaskRecord {
  task: CommittedTask;
  readonly units: ResourceUnits;
  /** Worker on which the task is committed. */
  readonly record: WorkerRecord;
  /** True if the task may be evicted for urgent work. */
  readonly isEvictable: boolean;
}
