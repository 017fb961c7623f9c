/** Item with a deadline. */
export interface DeadlineItem {
  /** Monotonic time in ms. */
  deadlineMs: number;
}

const SLOT_MS = 4;

/** Slots of the wheel; later deadlines share slots with earlier rounds. */
const SLOT_COUNT = 4096;

/**
 * Finds items whose deadline has passed. Adding and removing take constant
 * time; a look at the wheel touches only the slots that became due.
 */
export class DeadlineWheel<T extends DeadlineItem> {
  private readonly slots = new Map<number, Set<T>>();
  private nextTick: number;

  /** @param nowMs - Monotonic time in ms at the start. */
  constructor(nowMs: number) {
    this.nextTick = Math.floor(nowMs / SLOT_MS);
  }

  /** Adds an item; its deadline must not have passed. */
  add(item: T): void {
    const slot = this.slotOf(item);
    const items = this.slots.get(slot);
    if (items) items.add(item);
    else this.slots.set(slot, new Set([item]));
  }

  /** Removes an item if it is there. */
  remove(item: T): void {
    const slot = this.slotOf(item);
    const items = this.slots.get(slot);
    if (!items?.delete(item)) return;
    if (items.size === 0) this.slots.delete(slot);
  }

  /**
   * Returns items whose deadline has passed; they stay. An item is found at
   * most one slot late, because each slot is looked at once per round.
   */
  due(nowMs: number): T[] {
    const tick = Math.floor(nowMs / SLOT_MS);
    const first = Math.max(this.nextTick, tick - SLOT_COUNT);
    this.nextTick = tick;
    const found: T[] = [];
    for (let i = first; i < tick; i++) {
      for (const item of this.slots.get(i % SLOT_COUNT) ?? []) {
        if (item.deadlineMs <= nowMs) found.push(item);
      }
    }
    return found;
  }

  private slotOf(item: T): number {
    return Math.floor(item.deadlineMs / SLOT_MS) % SLOT_COUNT;
  }
}
