import {HeapItem, IndexedHeap} from './indexed_heap.js';

/** A party with a floor: a part of the slots that it keeps. */
export interface FloorAccount extends HeapItem {
  /** Part of the slots, 0 to 1. */
  floor: number;
  /** Reading of the clock from which the party is entitled to service. */
  eligibleAtMs: number;
  /** True while the party has waiting requests. */
  isActive: boolean;
}

/**
 * Tells which party must be served now so that each keeps its floor. The clock
 * advances by the service given to all; a party that gets `costMs` is entitled
 * again after `costMs / floor`. If the active floors add up to more than 1, all
 * are scaled down alike.
 */
export class FloorScheduler<A extends FloorAccount> {
  private readonly heap = new IndexedHeap<A>((account) => account.eligibleAtMs);
  private virtualTimeMs = 0;
  private floorSum = 0;

  /** Records that the party has waiting requests from now on. */
  activate(account: A): void {
    account.isActive = true;
    account.eligibleAtMs = Math.max(account.eligibleAtMs, this.virtualTimeMs);
    this.floorSum += account.floor;
    if (account.floor > 0) this.heap.update(account);
  }

  /** Records that the party has none; the heap drops it when it comes first. */
  deactivate(account: A): void {
    account.isActive = false;
    this.floorSum -= account.floor;
  }

  /** Applies a changed floor. */
  setFloor(account: A, floor: number): void {
    if (floor === account.floor) return;
    if (account.isActive) this.floorSum += floor - account.floor;
    account.floor = floor;
    if (account.isActive && floor > 0) this.heap.update(account);
  }

  /** Returns the party that is entitled to service now, if there is one. */
  firstEligible(): A | undefined {
    for (;;) {
      const account = this.heap.peek();
      if (!account) return undefined;
      if (account.isActive && account.floor > 0) {
        return account.eligibleAtMs <= this.virtualTimeMs ? account : undefined;
      }
      this.heap.remove(account);
    }
  }

  /** Advances the clock by the service that any party got. */
  advance(costMs: number): void {
    this.virtualTimeMs += costMs / Math.max(1, this.floorSum);
  }

  /**
   * Charges a party. Service beyond the floor is remembered for at most
   * `memoryMs`, or else a class that used idle slots for long would lose its
   * floor for long.
   */
  charge(account: A, options: {costMs: number; maxDebtMs: number}): void {
    if (account.floor <= 0) return;
    const intervalMs = options.costMs / account.floor;
    const latestMs =
      this.virtualTimeMs + Math.max(options.maxDebtMs, intervalMs);
    account.eligibleAtMs = Math.min(
      account.eligibleAtMs + intervalMs,
      latestMs,
    );
    if (account.heapIndex >= 0) this.heap.update(account);
  }

  /** Adds the difference between actual and charged time. */
  adjust(account: A, differenceMs: number): void {
    if (account.floor <= 0) return;
    account.eligibleAtMs += differenceMs / account.floor;
    if (account.heapIndex >= 0) this.heap.update(account);
  }
}
