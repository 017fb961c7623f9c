import assert from 'node:assert/strict';
import {test} from 'node:test';

import fc from 'fast-check';

import {LivePeer} from '../membership/peer_table.js';
import {assignShards} from './assign_shards.js';
import {EMPTY_OWNERSHIP, OwnershipRecord} from './ownership_record.js';

function peer(member: string, incarnation = 1): LivePeer {
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

test('assigns shards to a restarted member only under a new epoch', () => {
  // Guards against a restarted owner that acts with the epoch of its previous
  // incarnation, which fencing could not tell apart.
  const first = assignShards({
    current: EMPTY_OWNERSHIP,
    shards: SHARDS,
    liveMembers: [peer('a')],
  })!;
  const second = assignShards({
    current: first,
    shards: SHARDS,
    liveMembers: [peer('a', 2)],
  })!;
  for (const shard of SHARDS) {
    assert.ok(second.shards[shard]!.epoch > first.shards[shard]!.epoch);
    assert.equal(second.shards[shard]!.incarnation, '2');
  }
});

test('assigns no shards to a leaving member', () => {
  // Guards against a planned stop after which the stopped process still owns
  // shards.
  const current = assignShards({
    current: EMPTY_OWNERSHIP,
    shards: SHARDS,
    liveMembers: [peer('a'), peer('b')],
  })!;
  const next = assignShards({
    current,
    shards: SHARDS,
    liveMembers: [{...peer('a'), isLeaving: true}, peer('b')],
  })!;
  assert.ok(Object.values(next.shards).every(({member}) => member === 'b'));
});

test('increases the epoch of a shard if and only if its owner changes', () => {
  // Guards against two successive owners with the same epoch, which fencing
  // cannot tell apart.
  fc.assert(
    fc.property(
      fc.array(
        fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), {minLength: 1}),
        {minLength: 1, maxLength: 12},
      ),
      (rounds) => {
        let current: OwnershipRecord = EMPTY_OWNERSHIP;
        for (const names of rounds) {
          const liveMembers = names.sort().map((name) => peer(name));
          const next = assignShards({current, shards: SHARDS, liveMembers});
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
