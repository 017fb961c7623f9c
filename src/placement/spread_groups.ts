/** Number of tasks of each spread group, counted by rack and by worker. */
export class SpreadGroups {
  private readonly groups = new Map<string, Map<string, number>>();

  /** Adds (`change` 1) or removes (-1) one task of a group. */
  count(
    group: string,
    options: {rack: string; worker: string; change: 1 | -1},
  ): void {
    const {rack, worker, change} = options;
    let counts = this.groups.get(group);
    if (!counts) this.groups.set(group, (counts = new Map<string, number>()));
    for (const key of [rackKey(rack), workerKey(worker)]) {
      const next = (counts.get(key) ?? 0) + change;
      if (next > 0) counts.set(key, next);
      else counts.delete(key);
    }
    if (counts.size === 0) this.groups.delete(group);
  }

  /** Returns the number of the group's tasks in a rack. */
  countInRack(group: string, rack: string): number {
    return this.groups.get(group)?.get(rackKey(rack)) ?? 0;
  }

  /** Returns the number of the group's tasks on a worker. */
  countOnWorker(group: string, worker: string): number {
    return this.groups.get(group)?.get(workerKey(worker)) ?? 0;
  }
}

function rackKey(rack: string): string {
  return `r:${rack}`;
}

function workerKey(worker: string): string {
  return `w:${worker}`;
}
