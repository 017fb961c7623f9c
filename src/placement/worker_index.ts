import {WorkerRecord} from './worker_record.js';

/** Index over workers that the ledger keeps up to date. */
export interface WorkerIndex {
  /** Adds a worker or moves it after its free resources changed. */
  update(record: WorkerRecord): void;
  /** Takes a worker out; no effect if it is not in the index. */
  remove(record: WorkerRecord): void;
}
