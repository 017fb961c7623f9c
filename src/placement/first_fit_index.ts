import {ResourceUnits} from './resource_units.js';
import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/** Amount of an empty leaf; lower than any need. */
const ABSENT = -1;
/** Maximum number of tree nodes visited in one search. */
const MAX_NODES = 4_096;

/**
 * Segment tree over workers in the order in which they were added. Each node
 * holds the maximum free amounts of its subtree, so the first worker that fits
 * is found without a linear scan.
 */
export class FirstFitIndex implements WorkerIndex {
  private slots: Array<WorkerRecord | undefined> = [];
  private leafCount = 1;
  private processors = new Float64Array(2).fill(ABSENT);
  private memory = new Float64Array(2).fill(ABSENT);
  private accelerators = new Float64Array(2).fill(ABSENT);

  update(record: WorkerRecord): void {
    if (record.places[0]!.cell < 0) {
      record.places[0]!.cell = this.slots.length;
      this.slots.push(record);
      if (this.slots.length > this.leafCount) this.rebuild();
    }
    this.write(record.places[0]!.cell, record);
  }

  remove(record: WorkerRecord): void {
    if (record.places[0]!.cell < 0) return;
    this.write(record.places[0]!.cell, undefined);
    this.slots[record.places[0]!.cell] = undefined;
    record.places[0]!.cell = -1;
  }

  /**
   * Calls `examine` with workers that fit, in order, until it returns true or
   * `limit` of them have been examined. The number of visited nodes is also
   * bounded, because the maxima of a node may belong to different workers and
   * its subtree may then contain no worker that fits.
   */
  search(
    need: ResourceUnits,
    options: {limit: number; examine: (record: WorkerRecord) => boolean},
  ): void {
    let candidates = options.limit;
    let nodes = MAX_NODES;
    const pending = [1];
    while (pending.length > 0 && candidates > 0 && nodes > 0) {
      const node = pending.pop()!;
      nodes -= 1;
      if (!this.mayFit(node, need)) continue;
      if (node < this.leafCount) {
        pending.push(2 * node + 1, 2 * node);
        continue;
      }
      const record = this.slots[node - this.leafCount];
      candidates -= 1;
      if (record && options.examine(record)) return;
    }
  }

  private mayFit(node: number, need: ResourceUnits): boolean {
    return (
      this.processors[node]! >= need.processors &&
      this.memory[node]! >= need.memory &&
      this.accelerators[node]! >= need.accelerators
    );
  }

  /**
   * Drops empty slots and doubles the tree if it is still more than half full,
   * so that workers that join and leave don't each cause a rebuild.
   */
  private rebuild(): void {
    this.slots = this.slots.filter((record) => record !== undefined);
    while (this.leafCount < 2 * this.slots.length) this.leafCount *= 2;
    this.processors = new Float64Array(2 * this.leafCount).fill(ABSENT);
    this.memory = new Float64Array(2 * this.leafCount).fill(ABSENT);
    this.accelerators = new Float64Array(2 * this.leafCount).fill(ABSENT);
    this.slots.forEach((record, slot) => {
      record!.places[0]!.cell = slot;
      this.write(slot, record);
    });
  }

  private write(slot: number, record: WorkerRecord | undefined): void {
    let node = this.leafCount + slot;
    this.processors[node] = record?.free.processors ?? ABSENT;
    this.memory[node] = record?.free.memory ?? ABSENT;
    this.accelerators[node] = record?.free.accelerators ?? ABSENT;
    for (node >>= 1; node >= 1; node >>= 1) {
      for (const amounts of [this.processors, this.memory, this.accelerators]) {
        amounts[node] = Math.max(amounts[2 * node]!, amounts[2 * node + 1]!);
      }
    }
  }
}
