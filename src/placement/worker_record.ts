import {PlacementWorker} from './placement_request.js';
import {ResourceAmounts} from './resource_amounts.js';
import {ResourceUnits} from './resource_units.js';
import {TaskRecord} from './task_record.js';

/** Position of a worker in an index; cell -1 means that it is not indexed. */
export interface IndexPlace {
  cell: number;
  /** Position within the cell. */
  position: number;
}

/** State of one worker in the ledger; only the ledger changes the amounts. */
export class WorkerRecord {
  /** True if new tasks may be placed on the worker. */
  isAccepting = true;
  /** Capacity less the committed amounts; negative after some resizes. */
  readonly free: ResourceAmounts;
  /** Free amounts plus those of evictable tasks. */
  readonly reclaimable: ResourceAmounts;
  /** Tasks that are committed on the worker. */
  readonly tasks = new Set<TaskRecord>();
  /** Task counts by kind, in the format of {@link NeighbourCost}. */
  readonly neighbours: number[] = [];
  /** Positions in the indexes of the policy, by index number. */
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

  /**
   * Creates the record of a worker without tasks.
   *
   * @throws RangeError if an amount is negative or not a finite number.
   */
  static of(worker: PlacementWorker): WorkerRecord {
    const capacity = ResourceUnits.offered(worker.capacity);
    capacity.check(`worker "${worker.worker}"`);
    return new WorkerRecord(worker.worker, worker.rack, capacity);
  }

  /** Returns whether the free resources cover the need. */
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
