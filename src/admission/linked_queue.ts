/** Item that can be in one {@link LinkedQueue} at a time. */
export interface LinkedItem<T> {
  /** Neighbour towards the front. */
  previous: T | undefined;
  /** Neighbour towards the back. */
  next: T | undefined;
}

/**
 * Intrusive doubly linked FIFO queue; items are removed from any position in
 * constant time.
 */
export class LinkedQueue<T extends LinkedItem<T>> {
  private front: T | undefined;
  private back: T | undefined;
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Returns the item at the front without removing it. */
  peek(): T | undefined {
    return this.front;
  }

  /** Appends an item that is in no queue. */
  push(item: T): void {
    item.previous = this.back;
    item.next = undefined;
    if (this.back) this.back.next = item;
    else this.front = item;
    this.back = item;
    this.count += 1;
  }

  /** Inserts an item that is in no queue at the front. */
  pushFront(item: T): void {
    item.previous = undefined;
    item.next = this.front;
    if (this.front) this.front.previous = item;
    else this.back = item;
    this.front = item;
    this.count += 1;
  }

  /** Removes an item that is in this queue. */
  remove(item: T): void {
    if (item.previous) item.previous.next = item.next;
    else this.front = item.next;
    if (item.next) item.next.previous = item.previous;
    else this.back = item.previous;
    item.previous = undefined;
    item.next = undefined;
    this.count -= 1;
  }
}
