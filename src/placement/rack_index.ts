import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/** Number of the entry of `WorkerRecord.places` that this index uses. */
const PLACE = 2;

/** Workers that accept work by rack, so that spreading needs no scan. */
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
    // Racks leave rarely, and their number is small beside that of workers.
    this.racks.splice(this.racks.indexOf(record.rack), 1);
  }

  /**
   * Calls `examine` with workers of racks that `skipsRack` doesn't skip, a few
   * of each rack, beginning with another rack at each call.
   *
   * @returns The number of workers that were looked at.
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
