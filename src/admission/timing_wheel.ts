/** Item of a {@link TimingWheel}. */
export interface TimedItem {
  /** Monotonic time in ms; must not change while the item is in the wheel. */
  deadlineMs: number;
}

/** Time span of one bucket in ms. */
const BUCKET_MS = 4;

/**
 * Number of buckets. A deadline more than one revolution ahead shares its
 * bucket with deadlines of earlier revolutions.
 */
const BUCKET_COUNT = 4096;

/**
 * Hashed timing wheel that finds items whose deadline has passed. Adding and
 * removing take constant time; finding visits only the buckets whose time has
 * passed since the previous call.
 */
export class TimingWheel<T extends TimedItem> {
  private readonly buckets = new Map<number, Set<T>>();
  private nextTick: number;

  /** @param nowMs - Current monotonic time in ms. */
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

  /** Removes an item if it is in the wheel. */
  remove(item: T): void {
    const bucket = this.bucketOf(item);
    const items = this.buckets.get(bucket);
    if (!items?.delete(item)) return;
    if (items.size === 0) this.buckets.delete(bucket);
  }

  /**
   * Returns the items whose deadline has passed, without removing them. A
   * bucket is visited only once its time span is over, so an item is found up
   * to one span after its deadline.
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
