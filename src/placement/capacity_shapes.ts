import {ResourceUnits} from './resource_units.js';

/**
 * Distinct capacities of the workers. A data centre has few of them, so the
 * cost of a check against all of them does not grow with the number of workers.
 * Only capacities that no other capacity covers are checked.
 */
export class CapacityShapes {
  private readonly counts = new Map<
    string,
    {units: ResourceUnits; count: number}
  >();
  /** Capacities that no other one covers; undefined until recomputed. */
  private maximal: ResourceUnits[] | undefined = [];

  /** Adds the capacity of one worker. */
  add(units: ResourceUnits): void {
    const entry = this.counts.get(keyOf(units));
    if (entry) entry.count += 1;
    else {
      this.counts.set(keyOf(units), {units, count: 1});
      this.maximal = undefined;
    }
  }

  /** Removes the capacity of one worker. */
  remove(units: ResourceUnits): void {
    const entry = this.counts.get(keyOf(units));
    if (!entry) return;
    entry.count -= 1;
    if (entry.count > 0) return;
    this.counts.delete(keyOf(units));
    this.maximal = undefined;
  }

  /**
   * Returns why no worker can satisfy the need even when it is empty.
   *
   * @returns The reason; undefined if a worker can satisfy the need, or if no
   *     worker is known yet.
   */
  neverFitsReason(need: ResourceUnits): string | undefined {
    const shapes = (this.maximal ??= this.findMaximal());
    if (shapes.length === 0 || shapes.some((shape) => covers(shape, need))) {
      return undefined;
    }
    for (const [name, unit] of DIMENSIONS) {
      const most = Math.max(...shapes.map((shape) => shape[name]));
      if (need[name] > most) {
        const scale = name === 'accelerators' ? 1 : ResourceUnits.toAmount(1);
        return `needs ${need[name] * scale} ${unit}, the largest worker has ${most * scale}`;
      }
    }
    return 'needs more processors, memory and accelerators together than any one worker has';
  }

  private findMaximal(): ResourceUnits[] {
    const all = [...this.counts.values()].map((entry) => entry.units);
    return all.filter(
      (shape) => !all.some((other) => other !== shape && covers(other, shape)),
    );
  }
}

const DIMENSIONS = [
  ['processors', 'processors'],
  ['memory', 'MB of memory'],
  ['accelerators', 'accelerators'],
] as const;

function covers(shape: ResourceUnits, need: ResourceUnits): boolean {
  return (
    shape.processors >= need.processors &&
    shape.memory >= need.memory &&
    shape.accelerators >= need.accelerators
  );
}

function keyOf(units: ResourceUnits): string {
  return `${units.processors}/${units.memory}/${units.accelerators}`;
}
