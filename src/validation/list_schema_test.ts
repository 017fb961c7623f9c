import assert from 'node:assert/strict';
import {test} from 'node:test';

import {z} from 'zod';

import {listSchema} from './list_schema.js';

const numbers = listSchema(z.number(), {most: 3});

test('a list is decoded element by element', () => {
  // Guards against elements that are left out or changed.
  assert.deepEqual(numbers.parse([1, 2, 3]), [1, 2, 3]);
  assert.deepEqual(numbers.parse([]), []);
});

test('values that are no list, and longer lists, are rejected', () => {
  // Guards against entries whose lists fill the memory.
  for (const value of [undefined, 'text', {length: 1}, [1, 2, 3, 4]]) {
    assert.equal(numbers.safeParse(value).success, false);
  }
});

test('a list with many invalid elements fails with the first one', () => {
  // Guards against an entry of less than a megabyte that ends the process: an
  // error for each of 350,000 elements exceeds the heap.
  const {error} = listSchema(z.string()).safeParse(
    new Array<number>(350_000).fill(1),
  );
  assert.equal(error!.issues.length, 1);
  assert.deepEqual(error!.issues[0]!.path, [0]);
});

test('an invalid part of an element is named by its path', () => {
  // Guards against an error that does not say which field is wrong.
  const entries = listSchema(z.object({name: z.string()}));
  const {error} = entries.safeParse([{name: 'a'}, {name: 7}]);
  assert.deepEqual(error!.issues[0]!.path, [1, 'name']);
});
