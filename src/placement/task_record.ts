import {CommittedTask} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';
import type {WorkerRecord} from './worker_record.js';

/** A commitment with the exact units that were taken for it. */
export interface TaskRecord {
  task: CommittedTask;
  readonly units: ResourceUnits;
  readonly record: WorkerRecord;
  /** True if urgent work may take its place. */
  readonly isEvictable: boolean;
}
