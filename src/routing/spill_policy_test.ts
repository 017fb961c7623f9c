import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {SpillCandidate, SpillPolicy, SpillRequest} from './spill_policy.js';

const REQUEST: SpillRequest = {
  spilledFrom: undefined,
  localWaitMs: 400,
  remainingMs: 2000,
  allowed: ['levis', 'sainte-foy'],
  maxCost: 100,
};

function candidate(dataCentre: string, price: number): SpillCandidate {
  const link = {delayMs: 5, lossFraction: 0.01, price};
  return {dataCentre, freeSlots: 4, reportAgeMs: 100, link};
}

// Guards against ignoring the price, or the data centres or the largest cost
// that the contract permits.
test('the cheapest permitted data centre is chosen', () => {
  const policy = new SpillPolicy({clock: new ManualClock()});
  const candidates = [
    candidate('limoilou', 0),
    candidate('levis', 20),
    candidate('sainte-foy', 10),
  ];
  assert.equal(policy.choose(REQUEST, candidates)?.dataCentre, 'sainte-foy');
  assert.equal(policy.choose({...REQUEST, maxCost: 5}, candidates), undefined);
});

// Guards against requests that spill repeatedly, or back and forth.
test('a request spills once and data centres do not exchange load', () => {
  const clock = new ManualClock();
  const policy = new SpillPolicy({clock});
  const candidates = [candidate('levis', 0)];
  const spilled = {...REQUEST, spilledFrom: 'sainte-foy'};
  assert.equal(policy.choose(spilled, candidates), undefined);
  policy.recordReceived('levis');
  assert.equal(policy.choose(REQUEST, candidates), undefined);
  clock.advance(5001);
  assert.equal(policy.choose(REQUEST, candidates)?.dataCentre, 'levis');
});

// Guards against spills that save no time or rely on an outdated report.
test('a spill requires a time saving and a recent report of a free slot', () => {
  const policy = new SpillPolicy({clock: new ManualClock()});
  const levis = candidate('levis', 0);
  assert.equal(
    policy.choose({...REQUEST, localWaitMs: 20}, [levis]),
    undefined,
  );
  assert.equal(policy.choose(REQUEST, [{...levis, freeSlots: 0}]), undefined);
  const outdated = {...levis, reportAgeMs: 2500};
  assert.equal(policy.choose(REQUEST, [outdated]), undefined);
});
