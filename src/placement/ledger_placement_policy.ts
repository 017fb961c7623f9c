import {CapacityLedger} from './capacity_ledger.js';
import {PlacementPolicy} from './placement_policy.js';
import {
  CommittedTask,
  Placement,
  PlacementRequest,
  PlacementWorker,
} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';
import {WorkerIndex} from './worker_index.js';

/** Base class of the placement policies, with their common accounting. */
export abstract class LedgerPlacementPolicy implements PlacementPolicy {
  abstract readonly name: string;
  protected readonly ledger: CapacityLedger;

  protected constructor(index: WorkerIndex) {
    this.ledger = new CapacityLedger(index);
  }

  abstract place(request: PlacementRequest): Placement | undefined;

  addWorker(worker: PlacementWorker): void {
    this.ledger.addWorker(worker);
  }

  removeWorker(worker: string): void {
    this.ledger.removeWorker(worker);
  }

  setAccepting(worker: string, isAccepting: boolean): void {
    this.ledger.setAccepting(worker, isAccepting);
  }

  neverFitsReason(request: PlacementRequest): string | undefined {
    return this.ledger.shapes.neverFitsReason(
      ResourceUnits.needed(request.resources),
    );
  }

  commit(task: CommittedTask): void {
    this.ledger.commit(task);
  }

  release(taskId: string): void {
    this.ledger.release(taskId);
  }

  committed(taskId: string): CommittedTask | undefined {
    return this.ledger.task(taskId)?.task;
  }

  setLostWork(taskId: string, lostWorkMs: number): void {
    const entry = this.ledger.task(taskId);
    if (entry) entry.task = {...entry.task, lostWorkMs};
  }

  freeTotals(): {
    processors: number;
    memoryMegabytes: number;
    accelerators: number;
  } {
    const free = this.ledger.freeUnits();
    return {
      processors: ResourceUnits.toAmount(free.processors),
      memoryMegabytes: ResourceUnits.toAmount(free.memory),
      accelerators: free.accelerators,
    };
  }
}
