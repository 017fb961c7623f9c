import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/** Position of this index in `WorkerRecord.places`. */
const PLACE = 2;

/**
 * Index by rack of the workers that accept work, so that spreading needs no
 * scan over all workers.
 */
export class RackIndex implements WorkerIndex {
  private readonly members = new Map<string, WorkerRecord[]>();
  private readonly racks: string[] = [];
  private cursor = 0;

  update(record: WorkerRecord): void {
    const place = record.places[PLACE]!;
    if (place.cell >= 0) return;
    let members = this.members.get(record.rack);
    if (!members) {
      members = [];
      this.members.set(record.rack, members);
      this.racks.push(record.rack);
    }
    place.cell = 0;
    place.position = members.length;
    members.push(record);
  }

  remove(record: WorkerRecord): void {
    const place = record.places[PLACE]!;
    if (place.cell < 0) return;
    const members = this.members.get(record.rack)!;
    const last = members.pop()!;
    if (last !== record) {
      members[place.position] = last;
      last.places[PLACE]!.position = place.position;
    }
    place.cell = -1;
    if (members.length > 0) return;
    this.members.delete(record.rack);
    // A linear search is acceptable: racks are removed rarely, and there are
    // far fewer racks than workers.
    this.racks.splice(this.racks.indexOf(record.rack), 1);
  }

  /**
   * Calls `examine` with up to `maxPerRack` workers of each rack that
   * `skipsRack` doesn't exclude. Each call starts with a different rack.
   *
   * @returns The number of workers examined.
   */
  search(options: {
    limit: number;
    maxPerRack: number;
    skipsRack: (rack: string) => boolean;
    examine: (record: WorkerRecord) => void;
  }): number {
    const {limit, maxPerRack, skipsRack, examine} = options;
    const racks = Math.min(this.racks.length, limit);
    let remaining = limit;
    this.cursor += 1;
    for (let i = 0; i < racks && remaining > 0; i++) {
      const rack = this.racks[(this.cursor + i) % this.racks.length]!;
      if (skipsRack(rack)) continue;
      const members = this.members.get(rack)!;
      const count = Math.min(members.length, maxPerRack, remaining);
      for (let j = 0; j < count; j++) {
        examine(members[(this.cursor + j) % members.length]!);
      }
      remaining -= count;
    }
    return limit - remaining;
  }
}
