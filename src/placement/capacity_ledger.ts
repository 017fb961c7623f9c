import {Urgency} from '../contracts/urgency.js';
import {CommittedTask, PlacementWorker} from './placement_request.js';
import {CapacityShapes} from './capacity_shapes.js';
import {ResourceAmounts} from './resource_amounts.js';
import {ResourceUnits} from './resource_units.js';
import {TaskRecord} from './task_record.js';
import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/**
 * Tracks committed and free resources by worker, and rejects commitments that
 * exceed a worker's capacity.
 */
export class CapacityLedger {
  /** Distinct capacities of the known workers. */
  readonly shapes = new CapacityShapes();
  private readonly workers = new Map<string, WorkerRecord>();
  private readonly tasks = new Map<string, TaskRecord>();
  private readonly free: ResourceAmounts = {
    processors: 0,
    memory: 0,
    accelerators: 0,
  };

  private readonly acceptingTotal: ResourceAmounts = {
    processors: 0,
    memory: 0,
    accelerators: 0,
  };

  /** @param index - Index that is updated on each change of a worker. */
  constructor(private readonly index: WorkerIndex) {}

  /** Number of workers. */
  get size(): number {
    return this.workers.size;
  }

  /** Returns the record of a worker, if the worker is known. */
  worker(worker: string): WorkerRecord | undefined {
    return this.workers.get(worker);
  }

  /** Returns the record of a committed task. */
  task(taskId: string): TaskRecord | undefined {
    return this.tasks.get(taskId);
  }

  /** Total capacity of the workers that accept work. */
  acceptingCapacity(): Readonly<ResourceAmounts> {
    return this.acceptingTotal;
  }

  /** Total free units of the workers that accept work. */
  freeUnits(): Readonly<ResourceAmounts> {
    return this.free;
  }

  /**
   * Adds a worker or changes its capacity. If the new capacity is less than the
   * committed resources, the free amounts become negative and no task can be
   * committed until enough tasks have been released.
   *
   * @throws RangeError if the worker is known in another rack.
   */
  addWorker(worker: PlacementWorker): WorkerRecord {
    const existing = this.workers.get(worker.worker);
    if (!existing) return this.insert(WorkerRecord.of(worker));
    if (existing.rack !== worker.rack) {
      throw new RangeError(
        `Cannot move worker "${worker.worker}" to rack "${worker.rack}": it is in rack "${existing.rack}"`,
      );
    }
    this.resize(existing, WorkerRecord.of(worker).capacity);
    return existing;
  }

  /**
   * Removes a worker.
   *
   * @returns The removed record, or undefined if the worker is unknown.
   * @throws RangeError if tasks are still committed on the worker.
   */
  removeWorker(worker: string): WorkerRecord | undefined {
    const record = this.workers.get(worker);
    if (!record) return undefined;
    if (record.tasks.size > 0) {
      throw new RangeError(
        `Cannot remove worker "${worker}": ${record.tasks.size} tasks are committed on it`,
      );
    }
    this.setAccepting(worker, false);
    this.workers.delete(worker);
    this.shapes.remove(record.capacity);
    return record;
  }

  /** Sets whether a worker accepts work; no effect if it is unknown. */
  setAccepting(worker: string, isAccepting: boolean): void {
    const record = this.workers.get(worker);
    if (!record || record.isAccepting === isAccepting) return;
    this.addToTotals(record, isAccepting ? 1 : -1);
    record.isAccepting = isAccepting;
    this.updateIndex(record);
  }

  /**
   * Commits a task's resources on its worker.
   *
   * @throws RangeError if the worker is unknown, the task is already
   *     committed, or the worker would be committed beyond its capacity.
   */
  commit(task: CommittedTask): TaskRecord {
    const record = this.workers.get(task.worker);
    const units = ResourceUnits.needed(task.resources);
    units.check(`task "${task.taskId}"`);
    this.checkCommit(task, {record, units});
    const isEvictable = task.urgency !== Urgency.URGENT;
    const entry: TaskRecord = {task, units, record: record!, isEvictable};
    this.tasks.set(task.taskId, entry);
    record!.tasks.add(entry);
    this.applyTask(entry, 1);
    return entry;
  }

  /**
   * Releases the resources of a task.
   *
   * @returns The released record, or undefined if the task is not committed.
   */
  release(taskId: string): TaskRecord | undefined {
    const entry = this.tasks.get(taskId);
    if (!entry) return undefined;
    this.tasks.delete(taskId);
    entry.record.tasks.delete(entry);
    this.applyTask(entry, -1);
    return entry;
  }

  private checkCommit(
    task: CommittedTask,
    state: {record: WorkerRecord | undefined; units: ResourceUnits},
  ): void {
    const errorPrefix = `Cannot commit task "${task.taskId}" on worker "${task.worker}"`;
    const {record, units} = state;
    if (!record) throw new RangeError(`${errorPrefix}: the worker is unknown`);
    const existing = this.tasks.get(task.taskId);
    if (existing) {
      throw new RangeError(
        `${errorPrefix}: it is already committed on "${existing.task.worker}"`,
      );
    }
    if (!record.fits(units)) {
      throw new RangeError(
        `${errorPrefix}: it needs ${describe(units)}; ${describe(record.free)} are free`,
      );
    }
  }

  private insert(record: WorkerRecord): WorkerRecord {
    this.workers.set(record.worker, record);
    this.shapes.add(record.capacity);
    this.addToTotals(record, 1);
    this.updateIndex(record);
    return record;
  }

  private resize(record: WorkerRecord, capacity: ResourceUnits): void {
    if (record.isAccepting) this.addToTotals(record, -1);
    this.shapes.remove(record.capacity);
    this.shapes.add(capacity);
    for (const sum of [record.free, record.reclaimable]) {
      addTo(sum, {units: record.capacity, sign: -1});
      addTo(sum, {units: capacity, sign: 1});
    }
    record.capacity = capacity;
    if (record.isAccepting) this.addToTotals(record, 1);
    this.updateIndex(record);
  }

  /** Commits (`sign` 1) or releases (-1) the units of a task. */
  private applyTask(entry: TaskRecord, sign: 1 | -1): void {
    const {record, units, isEvictable} = entry;
    if (record.isAccepting) this.addToFreeTotal(record, -1);
    addTo(record.free, {units, sign: -sign});
    if (!isEvictable) addTo(record.reclaimable, {units, sign: -sign});
    if (record.isAccepting) this.addToFreeTotal(record, 1);
    this.updateIndex(record);
  }

  private addToTotals(record: WorkerRecord, sign: 1 | -1): void {
    this.addToFreeTotal(record, sign);
    addTo(this.acceptingTotal, {units: record.capacity, sign});
  }

  private addToFreeTotal(record: WorkerRecord, sign: 1 | -1): void {
    addTo(this.free, {units: record.free, sign});
  }

  private updateIndex(record: WorkerRecord): void {
    if (record.isAccepting) this.index.update(record);
    else this.index.remove(record);
  }
}

function addTo(
  sum: ResourceAmounts,
  change: {units: ResourceAmounts; sign: number},
): void {
  const {units, sign} = change;
  sum.processors += sign * units.processors;
  sum.memory += sign * units.memory;
  sum.accelerators += sign * units.accelerators;
}

function describe(units: ResourceAmounts): string {
  const processors = ResourceUnits.toAmount(units.processors);
  const memory = ResourceUnits.toAmount(units.memory);
  return `${processors} processors, ${memory} MB, ${units.accelerators} accelerators`;
}
