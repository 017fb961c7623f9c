import assert from 'node:assert/strict';
import {test} from 'node:test';

import {RoomModelResult, runRoomModel} from './room_model.js';

const SEEDS = [1, 2];

function play(load: number, looksAhead: boolean): RoomModelResult {
  const results = SEEDS.map((seed) => runRoomModel({seed, load, looksAhead}));
  const mean = (pick: (result: RoomModelResult) => number): number =>
    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
  return {
    largeWaitMs: mean(({largeWaitMs}) => largeWaitMs),
    longestWaitMs: mean(({longestWaitMs}) => longestWaitMs),
    smallWaitMs: mean(({smallWaitMs}) => smallWaitMs),
    used: mean(({used}) => used),
    passMs: mean(({passMs}) => passMs),
  };
}

for (const load of [0.6, 0.8]) {
  test(`tasks as large as a worker find room at a load of ${load}`, () => {
    // Guards against small tasks that fill each gap, so that a task which needs
    // a whole worker waits until no small one happens to be there.
    const without = play(load, false);
    const ahead = play(load, true);
    const facts = JSON.stringify({without, ahead});
    assert.ok(ahead.largeWaitMs <= without.largeWaitMs / 2, facts);
    assert.ok(ahead.smallWaitMs <= without.smallWaitMs + 100, facts);
    assert.ok(ahead.used >= without.used, facts);
  });
}
