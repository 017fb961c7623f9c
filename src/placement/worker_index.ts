import {WorkerRecord} from './worker_record.js';

/** Index over workers that the {@link CapacityLedger} keeps up to date. */
export interface WorkerIndex {
  /** Adds a worker, or updates it after its free resources changed. */
  update(record: WorkerRecord): void;
  /** Removes a worker; no effect if it is not in the index. */
  remove(record: WorkerRecord): void;
}
