/** Item with a deadline. */
export interface TimedItem {
  /** Monotonic time in ms. */
  deadlineMs: number;
}

const BUCKET_MS = 4;

/** Slots of the wheel; later deadlines share slots with earlier rounds. */
const BUCKET_COUNT = 4096;

/**
 * Finds items whose deadline has passed. Adding and removing take constant
 * time; a look at the wheel touches only the slots that became due.
 */
export class TimingWheel<T extends TimedItem> {
  private readonly buckets = new Map<number, Set<T>>();
  private nextTick: number;

  /** @param nowMs - Monotonic time in ms at the start. */
  constructor(nowMs: number) {
    this.nextTick = Math.floor(nowMs / BUCKET_MS);
  }

  /** Adds an item; its deadline must not have passed. */
  add(item: T): void {
    const bucket = this.bucketOf(item);
    const items = this.buckets.get(bucket);
    if (items) items.add(item);
    else this.buckets.set(bucket, new Set([item]));
  }

  /** Removes an item if it is there. */
  remove(item: T): void {
    const bucket = this.bucketOf(item);
    const items = this.buckets.get(bucket);
    if (!items?.delete(item)) return;
    if (items.size === 0) this.buckets.delete(bucket);
  }

  /**
   * Returns items whose deadline has passed; they stay. An item is found at
   * most one slot late, because each slot is looked at once per round.
   */
  expiredItems(nowMs: number): T[] {
    const tick = Math.floor(nowMs / BUCKET_MS);
    const first = Math.max(this.nextTick, tick - BUCKET_COUNT);
    this.nextTick = tick;
    const expired: T[] = [];
    for (let i = first; i < tick; i++) {
      for (const item of this.buckets.get(i % BUCKET_COUNT) ?? []) {
        if (item.deadlineMs <= nowMs) expired.push(item);
      }
    }
    return expired;
  }

  private bucketOf(item: T): number {
    return Math.floor(item.deadlineMs / BUCKET_MS) % BUCKET_COUNT;
  }
}
