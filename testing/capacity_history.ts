import {TaskResources} from '../src/work/job_definition.js';

/** A capacity of a worker at a time. */
export interface CapacityAt {
  capacity: TaskResources;
  nowMs: number;
}

/** Time in ms after which owners must have learned of a smaller capacity. */
const CAPACITY_KNOWN_MS = 4100;

/** Earlier capacities of workers that owners may not know to be replaced. */
export class CapacityHistory {
  private readonly replaced = new Map<string, CapacityAt[]>();

  /** Records that a capacity of a worker was replaced. */
  recordReplaced(workerId: string, capacity: CapacityAt): void {
    const earlier = this.replaced.get(workerId) ?? [];
    this.replaced.set(workerId, [...earlier, capacity]);
  }

  /** Returns the largest CPU in millicores that owners may believe in. */
  largestKnown(workerId: string, {capacity, nowMs}: CapacityAt): number {
    const earlier = (this.replaced.get(workerId) ?? []).filter(
      (known) => nowMs - known.nowMs <= CAPACITY_KNOWN_MS,
    );
    const known = [capacity, ...earlier.map((entry) => entry.capacity)];
    return Math.max(...known.map(({cpuMillicores}) => cpuMillicores));
  }
}
