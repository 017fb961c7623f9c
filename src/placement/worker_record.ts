import {PlacementWorker} from './placement_request.js';
import {ResourceAmounts} from './resource_amounts.js';
import {ResourceUnits} from './resource_units.js';
import {TaskRecord} from './task_record.js';

/** Where an index keeps a worker; cell -1 means nowhere. */
export interface IndexPlace {
  cell: number;
  position: number;
}

/** State of one worker in the ledger. Only the ledger changes the amounts. */
export class WorkerRecord {
  isAccepting = true;
  readonly free: ResourceAmounts;
  /** Free amounts plus what evictable tasks hold. */
  readonly reclaimable: ResourceAmounts;
  readonly tasks = new Set<TaskRecord>();
  /** Tasks by kind, as {@link NeighbourCost} counts them. */
  readonly neighbours: number[] = [];
  /** Places in the indexes of the policy, by the number of the index. */
  readonly places: IndexPlace[] = [
    {cell: -1, position: -1},
    {cell: -1, position: -1},
    {cell: -1, position: -1},
  ];

  constructor(
    readonly worker: string,
    readonly rack: string,
    public capacity: ResourceUnits,
  ) {
    this.free = amountsOf(capacity);
    this.reclaimable = amountsOf(capacity);
  }

  /** Creates the record of a worker that runs nothing yet. */
  static of(worker: PlacementWorker): WorkerRecord {
    const capacity = ResourceUnits.offered(worker.capacity);
    capacity.check(`worker "${worker.worker}"`);
    return new WorkerRecord(worker.worker, worker.rack, capacity);
  }

  /** True if the free resources cover the need. */
  fits(need: ResourceAmounts): boolean {
    return (
      this.free.processors >= need.processors &&
      this.free.memory >= need.memory &&
      this.free.accelerators >= need.accelerators
    );
  }
}

function amountsOf(units: ResourceUnits): ResourceAmounts {
  const {processors, memory, accelerators} = units;
  return {processors, memory, accelerators};
}
