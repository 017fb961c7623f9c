import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {LivingPeer} from '../membership/peer_table.js';
import {assignShards} from './assign_shards.js';
import {EMPTY_OWNERSHIP, OwnershipRecord} from './ownership_record.js';

function peer(member: string, incarnation = 1): LivingPeer {
  return {
    member,
    incarnation: String(incarnation),
    upMs: 60_000,
    isLeaving: false,
  };
}

function owner(
  record: OwnershipRecord,
  shard: string,
): OwnershipRecord['shards'][string] | undefined {
  return record.shards[shard];
}

const SHARDS = ['r1', 'r2', 'r3', 'r4', 'r5'];

test('a restarted member gets its shards back only under a new epoch', () => {
  // Guards against a restarted owner acting with the epoch of its past self.
  const first = assignShards({
    current: EMPTY_OWNERSHIP,
    shards: SHARDS,
    living: [peer('a')],
  })!;
  const second = assignShards({
    current: first,
    shards: SHARDS,
    living: [peer('a', 2)],
  })!;
  for (const shard of SHARDS) {
    assert.ok(second.shards[shard]!.epoch > first.shards[shard]!.epoch);
    assert.equal(second.shards[shard]!.incarnation, '2');
  }
});

test('a leaving member keeps nothing', () => {
  // Guards against a planned stop that leaves shards with a stopped process.
  const current = assignShards({
    current: EMPTY_OWNERSHIP,
    shards: SHARDS,
    living: [peer('a'), peer('b')],
  })!;
  const next = assignShards({
    current,
    shards: SHARDS,
    living: [{...peer('a'), isLeaving: true}, peer('b')],
  })!;
  assert.ok(Object.values(next.shards).every(({member}) => member === 'b'));
});

test('epochs rise for every move and owners that live keep theirs', () => {
  // Guards against two owners with one epoch, which fencing can't tell apart.
  fc.assert(
    fc.property(
      fc.array(
        fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), {minLength: 1}),
        {minLength: 1, maxLength: 12},
      ),
      (rounds) => {
        let current: OwnershipRecord = EMPTY_OWNERSHIP;
        for (const names of rounds) {
          const living = names.sort().map((name) => peer(name));
          const next = assignShards({current, shards: SHARDS, living});
          if (!next) continue;
          for (const shard of SHARDS) {
            const before = owner(current, shard);
            const after = owner(next, shard);
            assert.ok(after);
            assert.ok(names.some((name) => name === after.member));
            if (!before) continue;
            const hasMoved = before.member !== after.member;
            assert.equal(after.epoch > before.epoch, hasMoved);
          }
          current = next;
        }
      },
    ),
    {seed: 7, numRuns: 300},
  );
});
