/** Item that can be in one {@link IndexedHeap} at a time. */
export interface HeapItem {
  /** Position in the heap; -1 while it is in no heap. */
  heapIndex: number;
}

/**
 * Binary min-heap whose items store their position, so that an item whose key
 * changes is moved in logarithmic time.
 */
export class IndexedHeap<T extends HeapItem> {
  private readonly items: T[] = [];

  /** @param keyOf - Returns the key of an item; the smallest is first. */
  constructor(private readonly keyOf: (item: T) => number) {}

  get size(): number {
    return this.items.length;
  }

  /** Returns the item with the smallest key. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Adds the item, or restores the heap order after its key has changed. */
  update(item: T): void {
    if (item.heapIndex < 0) {
      item.heapIndex = this.items.length;
      this.items.push(item);
    }
    this.moveUp(item);
    this.moveDown(item);
  }

  /** Removes the item if it is in the heap. */
  remove(item: T): void {
    const index = item.heapIndex;
    if (index < 0) return;
    item.heapIndex = -1;
    const last = this.items.pop()!;
    if (last === item) return;
    this.place(last, index);
    this.moveUp(last);
    this.moveDown(last);
  }

  private place(item: T, index: number): void {
    this.items[index] = item;
    item.heapIndex = index;
  }

  private moveUp(item: T): void {
    const key = this.keyOf(item);
    while (item.heapIndex > 0) {
      const index = item.heapIndex;
      const parent = this.items[(index - 1) >> 1]!;
      if (this.keyOf(parent) <= key) return;
      this.place(item, parent.heapIndex);
      this.place(parent, index);
    }
  }

  private moveDown(item: T): void {
    const key = this.keyOf(item);
    for (;;) {
      const index = item.heapIndex;
      const child = this.smallerChild(index);
      if (!child || this.keyOf(child) >= key) return;
      this.place(item, child.heapIndex);
      this.place(child, index);
    }
  }

  private smallerChild(index: number): T | undefined {
    const left = this.items[2 * index + 1];
    const right = this.items[2 * index + 2];
    if (!left || !right) return left;
    return this.keyOf(right) < this.keyOf(left) ? right : left;
  }
}
