import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';

import {IndexedHeap} from './indexed_heap.js';

// Guards against a broken heap order after keys change or items are removed.
test('peek returns the smallest key after any sequence of changes', () => {
  const change = fc.tuple(fc.nat(15), fc.option(fc.nat(100)));
  fc.assert(
    fc.property(fc.array(change, {maxLength: 200}), (changes) => {
      const items = Array.from({length: 16}, () => ({heapIndex: -1, key: 0}));
      const heap = new IndexedHeap<(typeof items)[0]>((item) => item.key);
      for (const [index, key] of changes) {
        const item = items[index]!;
        if (key === null) heap.remove(item);
        else {
          item.key = key;
          heap.update(item);
        }
        const inside = items.filter(({heapIndex}) => heapIndex >= 0);
        assert.equal(heap.size, inside.length);
        const smallest = Math.min(...inside.map((other) => other.key));
        assert.equal(heap.peek()?.key ?? Infinity, smallest);
      }
    }),
    {seed: 5, numRuns: 200},
  );
});
