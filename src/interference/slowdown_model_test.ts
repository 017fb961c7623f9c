import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {SeededRandom} from '../random/seeded_random.js';
import {SlowdownModel, SpeedReport} from './slowdown_model.js';

const KINDS = ['preview', 'render', 'watch'];
const ACTUAL: Readonly<Record<string, number>> = {
  'preview/render': 1.8,
  'render/render': 1.2,
};

function speedOf(kinds: readonly string[], index: number): number {
  const slowdowns = kinds
    .toSpliced(index, 1)
    .map((kind) => ACTUAL[`${kinds[index]}/${kind}`] ?? 1);
  return 1 / slowdowns.reduce((product, factor) => product * factor, 1);
}

/** Reports a worker with random tasks twice, before and after the lag. */
function observe(
  state: {model: SlowdownModel; clock: ManualClock; random: SeededRandom},
  worker: string,
): void {
  const {model, clock, random} = state;
  const kinds = Array.from({length: 3}, () => KINDS[random.nextInteger(3)]!);
  const tasks: SpeedReport[] = kinds.map((kind, index) => ({
    taskId: `${worker}/${clock.nowMs()}/${index}`,
    kind,
    speed: speedOf(kinds, index) * (0.9 + 0.2 * random.next()),
    throttle: 1,
  }));
  model.observeWorker(worker, tasks);
  clock.advance(3000);
  model.observeWorker(worker, tasks);
}

function setUp(): {
  model: SlowdownModel;
  clock: ManualClock;
  random: SeededRandom;
} {
  const clock = new ManualClock();
  return {clock, model: new SlowdownModel(clock), random: new SeededRandom(5)};
}

// Guards against slowdowns attributed to the wrong neighbour.
test('estimates each ordered pair from mixed neighbours', () => {
  const state = setUp();
  for (let i = 0; i < 120; i++) observe(state, 'w');
  const {model} = state;
  assert.ok(Math.abs(model.slowdown('preview', 'render') - 1.8) < 0.25);
  assert.ok(Math.abs(model.slowdown('render', 'render') - 1.2) < 0.15);
  assert.ok(model.slowdown('render', 'preview') < 1.1);
  assert.ok(model.slowdown('watch', 'render') < 1.1);
});

// Guards against a single outlier that rules out most workers.
test('shrinks a single measurement towards the prior', () => {
  const {model, clock} = setUp();
  const tasks = ['preview', 'render'].map((kind) => {
    return {taskId: kind, kind, speed: 0.2, throttle: 1};
  });
  model.observeWorker('w', tasks);
  clock.advance(1000);
  model.observeWorker('w', tasks);
  assert.equal(
    model.slowdown('preview', 'render'),
    1,
    'learned before the lag had passed',
  );
  clock.advance(2000);
  model.observeWorker('w', tasks);
  assert.ok(model.slowdown('preview', 'render') > 1.5);
  assert.ok(model.slowdown('preview', 'render') < 4);
});

// Guards against mistaking too few processors for interference.
test('ignores tasks at their processor limit', () => {
  const {model, clock} = setUp();
  const tasks = ['preview', 'render'].map((kind) => {
    return {taskId: kind, kind, speed: 0.25, throttle: 1, isLimited: true};
  });
  for (let i = 0; i < 4; i++) {
    model.observeWorker('w', tasks);
    clock.advance(3000);
  }
  assert.equal(model.slowdown('preview', 'render'), 1);
});

// Guards against mistaking a throttle for interference.
test('excludes the throttle from the slowdown', () => {
  const {model, clock} = setUp();
  const tasks = ['preview', 'render'].map((kind) => {
    return {taskId: kind, kind, speed: 0.25, throttle: 0.25};
  });
  for (let i = 0; i < 4; i++) {
    model.observeWorker('w', tasks);
    clock.advance(3000);
  }
  assert.ok(model.slowdown('preview', 'render') < 1.05);
});

// Guards against estimates that outlive the load from which they were derived.
test('decays to the prior without measurements', () => {
  const state = setUp();
  for (let i = 0; i < 60; i++) observe(state, 'w');
  state.clock.advance(6_000_000);
  const quiet = {kind: 'preview', speed: 1, throttle: 1};
  const tasks = [
    {...quiet, taskId: 'a'},
    {...quiet, taskId: 'b', kind: 'render'},
  ];
  state.model.observeWorker('w', tasks);
  state.clock.advance(3000);
  state.model.observeWorker('w', tasks);
  assert.ok(state.model.slowdown('preview', 'render') < 1.1);
});

// Guards against a scheduler that uses only the samples of its own workers.
test('shares each sample once', () => {
  const state = setUp();
  const other = new SlowdownModel(state.clock);
  for (let i = 0; i < 60; i++) {
    observe(state, 'w');
    state.model.takeSamples(8).forEach((sample) => other.addSample(sample));
  }
  assert.ok(Math.abs(other.slowdown('preview', 'render') - 1.8) < 0.4);
  assert.deepEqual(state.model.takeSamples(8), []);
});

// Guards against memory use that grows with the square of the number of kinds.
test('keeps at most the maximum number of pairs', () => {
  const clock = new ManualClock();
  const model = new SlowdownModel(clock, {maxPairs: 10});
  for (let i = 0; i < 50; i++) {
    const tasks = [`a${i}`, `b${i}`].map((kind) => {
      return {taskId: kind, kind, speed: 0.3, throttle: 1};
    });
    model.observeWorker('w', tasks);
    clock.advance(3000);
    model.observeWorker('w', tasks);
  }
  assert.equal(model.slowdown('a0', 'b0'), 1);
  assert.ok(model.slowdown('a49', 'b49') > 1);
});
