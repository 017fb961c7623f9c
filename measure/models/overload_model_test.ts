import assert from 'node:assert/strict';
import {test} from 'node:test';

import {createJobOrder} from '../../src/orchestrator/jobs/create_job_order.js';
import {simpleConfiguration} from '../../testing/simple_definitions.js';
import {
  OverloadOptions,
  OverloadResult,
  runOverload,
} from './overload_model.js';

const SEEDS = [1, 2];

const [queue] = simpleConfiguration().queues;

function play(
  name: 'deadline' | 'learned-deadline',
  load: Pick<OverloadOptions, 'load' | 'burstLoad'>,
): OverloadResult {
  const results = SEEDS.map((seed) =>
    runOverload({...createJobOrder(name), ...load, seed, queue: queue!}),
  );
  const mean = (pick: (result: OverloadResult) => number): number =>
    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
  return {
    onTime: mean(({onTime}) => onTime),
    late: mean(({late}) => late),
    onTimeOfLargest: mean(({onTimeOfLargest}) => onTimeOfLargest),
  };
}

const LOADS: Readonly<
  Record<string, Pick<OverloadOptions, 'load' | 'burstLoad'>>
> = {
  'a burst of 2.4 on a full fleet': {load: 1, burstLoad: 2.4},
  'lasting load of 1.5': {load: 1.5},
  'lasting load of 2.2': {load: 2.2},
};

for (const [name, load] of Object.entries(LOADS)) {
  test(`learned deadlines serve more than declared ones under ${name}`, () => {
    // Guards against an order that begins each job at the last moment, so that
    // few end in time, and against one that starves the largest jobs: these must
    // be served at least half as often as the kind.
    const before = play('deadline', load);
    const after = play('learned-deadline', load);
    const facts = JSON.stringify({before, after});
    assert.ok(after.onTime >= before.onTime + 0.1, facts);
    assert.ok(after.onTimeOfLargest >= after.onTime / 2, facts);
  });
}

test('learned deadlines lose nothing without overload', () => {
  // Guards against an order that delays jobs although there is room for all.
  const {onTime} = play('learned-deadline', {load: 0.7});
  assert.ok(onTime >= 0.99, `${onTime}`);
});
