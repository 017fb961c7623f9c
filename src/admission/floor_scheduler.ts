import {HeapItem, IndexedHeap} from './indexed_heap.js';

/**
 * Account of a class or customer with a floor, the fraction of the slots that
 * it is guaranteed while it has waiting requests.
 */
export interface FloorAccount extends HeapItem {
  /** Guaranteed fraction of the slots, 0 to 1. */
  floor: number;
  /** Virtual time in ms from which the account is eligible for service. */
  eligibleAtMs: number;
  /** True while the account has waiting requests. */
  isActive: boolean;
}

/**
 * Selects the account to serve so that each one receives its floor. Virtual
 * time advances by the service given to all accounts; an account that receives
 * `costMs` becomes eligible again `costMs / floor` later. If the floors of the
 * active accounts add up to more than 1, all are scaled down proportionally.
 */
export class FloorScheduler<A extends FloorAccount> {
  private readonly heap = new IndexedHeap<A>((account) => account.eligibleAtMs);
  private virtualTimeMs = 0;
  private floorSum = 0;

  /** Records that the account has waiting requests. */
  activate(account: A): void {
    account.isActive = true;
    account.eligibleAtMs = Math.max(account.eligibleAtMs, this.virtualTimeMs);
    this.floorSum += account.floor;
    if (account.floor > 0) this.heap.update(account);
  }

  /**
   * Records that the account has no waiting requests. It is removed from the
   * heap lazily, once it reaches the top.
   */
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

  /** Returns the account that has been eligible longest, or undefined. */
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

  /** Advances virtual time by the service given to any account. */
  advance(costMs: number): void {
    this.virtualTimeMs += costMs / Math.max(1, this.floorSum);
  }

  /**
   * Charges an account for service. The debt from service beyond its floor is
   * limited to `maxDebtMs`; otherwise a class that used idle slots for a long
   * time would lose its floor for as long.
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

  /** Corrects a charge by the difference between actual and charged time. */
  adjust(account: A, differenceMs: number): void {
    if (account.floor <= 0) return;
    account.eligibleAtMs += differenceMs / account.floor;
    if (account.heapIndex >= 0) this.heap.update(account);
  }
}
