import assert from 'node:assert/strict';
import {test} from 'node:test';

import {costByPart, CpuProfile} from './cost_profile.js';

function node(
  id: number,
  functionName: string,
  children: number[] = [],
): CpuProfile['nodes'][number] {
  const url = functionName.startsWith('(') ? '' : 'file:///build/a.js';
  return {id, callFrame: {functionName, url}, children};
}

const PROFILE: CpuProfile = {
  nodes: [
    node(1, '(root)', [2, 3, 6]),
    node(2, '(idle)'),
    node(3, 'serve', [4]),
    node(4, 'encode', [5]),
    node(5, 'helper'),
    node(6, 'unknown'),
  ],
  startTime: 1000,
  // Taken at 1100, 1200, 1300, 1500, 1600 and 1700 µs.
  samples: [2, 3, 5, 5, 6, 2],
  timeDeltas: [100, 100, 100, 200, 100, 100],
};

const PARTS = [
  {name: 'encoding', frame: /^encode /},
  {name: 'serving', frame: /^serve /},
];

test('a sample counts for the innermost part until the next sample', () => {
  // Guards against a profile that blames the caller for what it calls, counts
  // idle time or drops what no part matches.
  const window = {fromMicroseconds: 0, toMicroseconds: 10_000};
  assert.deepEqual(costByPart(PROFILE, PARTS, window), {
    serving: 100,
    encoding: 300,
    other: 100,
  });
});

test('samples outside of the window do not count', () => {
  // Guards against figures that contain the start of the program.
  const window = {fromMicroseconds: 1300, toMicroseconds: 1500};
  assert.deepEqual(costByPart(PROFILE, PARTS, window), {encoding: 200});
});
