import {PlacementWorker} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';
import {TaskRecord} from './task_record.js';

/** State of one worker in the ledger. Only the ledger changes the amounts. */
export class WorkerRecord {
  isAccepting = true;
  freeProcessors: number;
  freeMemory: number;
  freeAccelerators: number;
  readonly tasks = new Set<TaskRecord>();
  /** Place in the index that the policy keeps; -1 if it is in none. */
  indexCell = -1;
  indexPosition = -1;

  constructor(
    readonly worker: string,
    readonly rack: string,
    public capacity: ResourceUnits,
  ) {
    this.freeProcessors = capacity.processors;
    this.freeMemory = capacity.memory;
    this.freeAccelerators = capacity.accelerators;
  }

  /** Creates the record of a worker that runs nothing yet. */
  static of(worker: PlacementWorker): WorkerRecord {
    const capacity = ResourceUnits.offered(worker.capacity);
    capacity.check(`worker "${worker.worker}"`);
    return new WorkerRecord(worker.worker, worker.rack, capacity);
  }

  /** True if the free resources cover the need. */
  fits(need: ResourceUnits): boolean {
    return (
      this.freeProcessors >= need.processors &&
      this.freeMemory >= need.memory &&
      this.freeAccelerators >= need.accelerators
    );
  }
}
