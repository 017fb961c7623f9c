import assert from 'node:assert/strict';
import {test} from 'node:test';

import {SeededRandom} from '../random/seeded_random.js';
import {TailInterference} from './tail_interference.js';

const UNLOADED_TAIL_MS = 10;
const REPORT_INTERVAL_MS = 700;

test('distinguishes pairs of images that interfere from others', () => {
  // Load pattern: latency-critical tasks whose own load oscillates while tasks
  // of two images start and end on the same worker. Guards against attributing
  // the oscillation, or the effect of another image, to an image.
  const random = new SeededRandom(7);
  const actualPressures: Record<string, number> = {heavy: 3, light: 0.1};
  const model = new TailInterference();
  let uses: Array<{image: string; share: number}> = [];
  for (let round = 0; round < 2000; round++) {
    const nowMs = round * REPORT_INTERVAL_MS;
    if (random.next() < 0.3) {
      uses = ['heavy', 'light']
        .filter(() => random.next() < 0.5)
        .map((image) => ({image, share: 0.03 + random.next() * 0.12}));
    }
    const own = 0.4 + 0.2 * Math.sin((2 * Math.PI * nowMs) / 14_000);
    let load = own;
    for (const {image, share} of uses) load += actualPressures[image]! * share;
    const noise = 0.95 + random.next() * 0.1;
    model.observe({
      task: 'task',
      image: 'serving',
      tailMs: (UNLOADED_TAIL_MS / (1 - Math.min(load, 0.98))) * noise,
      fills: uses,
      nowMs,
    });
  }
  const heavy = model.pressureOf('serving', 'heavy');
  const light = model.pressureOf('serving', 'light');
  assert.ok(heavy > 1.5, `heavy ${heavy}`);
  assert.ok(light < heavy / 3, `light ${light}, heavy ${heavy}`);
});

interface BestEffortRun {
  image: string;
  share: number;
  fromMs: number;
  untilMs: number;
}

interface Host {
  image: string;
  steps: number[];
  fills: BestEffortRun[];
}

const SERVING_IMAGES = 5;
const BEST_EFFORT_IMAGES = 9;
const LOAD_PERIOD_MS = 14_000;
/** Time in ms that a gauge covers. */
const WINDOW_MS = 500;
const TICK_MS = 100;

/** Load of a step's tasks, which oscillates in phase for all of them. */
function periodicLoad(step: number, nowMs: number): number {
  return (
    0.45 + 0.225 * Math.sin((2 * Math.PI * nowMs) / LOAD_PERIOD_MS + step * 1.7)
  );
}

/** Fraction of the last window in which a task ran. */
function fractionOfWindow(
  {fromMs, untilMs}: BestEffortRun,
  nowMs: number,
): number {
  const beganMs = Math.max(fromMs, nowMs - WINDOW_MS);
  return Math.max(0, Math.min(untilMs, nowMs) - beganMs) / WINDOW_MS;
}

test('classifies pairs of images within 20 s in a busy partition', () => {
  // Load pattern: each worker serves one image, the loads of a step's tasks
  // oscillate together by half of their value, and short tasks of nine images
  // run as best-effort tasks; a pair interferes either little or much. Workers
  // report whenever a task ends, with gauges updated every 500 ms. Guards
  // against attributing to an image the oscillation, or a gauge older than its
  // task, which keeps tasks waiting although they would fit.
  const random = new SeededRandom(11);
  const actualPressures = Array.from(
    {length: SERVING_IMAGES * BEST_EFFORT_IMAGES},
    () => (random.next() < 0.6 ? 1.6 + random.next() * 3 : 0.2),
  );
  const hosts: Host[] = Array.from({length: 45}, (_, number) => ({
    image: String(number % SERVING_IMAGES),
    steps: [0, 1, 2].map((offset) => ((number * 7) % 15) * 3 + offset),
    fills: [],
  }));
  const gauges = new Map<string, number>();
  const model = new TailInterference();
  const seen = new Set<number>();
  for (let nowMs = 0; nowMs < 20_000; nowMs += TICK_MS) {
    hosts.forEach((host, number) => {
      host.fills = host.fills.filter(
        ({untilMs}) => untilMs > nowMs - WINDOW_MS,
      );
      const isEnd = host.fills.some(
        ({untilMs}) => untilMs <= nowMs && untilMs > nowMs - TICK_MS,
      );
      const present = host.fills.filter(({untilMs}) => untilMs > nowMs);
      for (let count = present.length; count < 3; count++) {
        if (random.next() > 0.1) continue;
        const image = String(random.nextInteger(BEST_EFFORT_IMAGES));
        const untilMs = nowMs + 800 + random.next() * 2500;
        const share = 0.06 + random.next() * 0.06;
        host.fills.push({image, share, fromMs: nowMs, untilMs});
      }
      const pairOf = (bestEffortImage: string): number =>
        Number(host.image) * BEST_EFFORT_IMAGES + Number(bestEffortImage);
      for (const step of host.steps) {
        const task = `${step}.${number}`;
        if (nowMs % WINDOW_MS === 0) {
          let load = periodicLoad(step, nowMs - WINDOW_MS / 2);
          for (const run of host.fills) {
            const share = run.share * fractionOfWindow(run, nowMs);
            load += actualPressures[pairOf(run.image)]! * share;
            seen.add(pairOf(run.image));
          }
          const noise = 0.9 + random.next() * 0.2;
          const tailMs = UNLOADED_TAIL_MS / (1 - Math.min(load, 0.96));
          gauges.set(task, tailMs * noise);
        }
        if (!isEnd && nowMs % 700 !== 0) continue;
        model.observe({
          task,
          group: `${host.image}.${step}`,
          image: host.image,
          tailMs: gauges.get(task)!,
          fills: host.fills.map((run) => ({
            image: run.image,
            share: run.share * fractionOfWindow(run, nowMs),
          })),
          nowMs,
        });
      }
    });
  }
  const wrong = [...seen].filter((pair) => {
    const image = String(Math.floor(pair / BEST_EFFORT_IMAGES));
    const estimate = model.pressureOf(image, String(pair % BEST_EFFORT_IMAGES));
    return actualPressures[pair]! > 1 !== estimate > 0.8;
  });
  assert.ok(seen.size > 40);
  assert.deepEqual(wrong, []);
});

test('images that callers name anew each time take a bounded memory', () => {
  // Guards against an owner that ends at its heap limit, and slows down before,
  // because each best-effort job names an image of its own: the covariances
  // grew with the square of their number.
  const model = new TailInterference();
  const observe = (image: string, fill: string, nowMs: number): void =>
    model.observe({
      task: `${image}.0`,
      image,
      tailMs: 100 + (nowMs % 7),
      fills: [{image: fill, share: 0.5}],
      nowMs,
    });
  for (let round = 1; round <= 2000; round++) {
    observe('portal', `build-${round}`, round * 500);
  }
  assert.ok(model.pairs().length <= 64, `${model.pairs().length} pairs`);
  for (let round = 1; round <= 2000; round++) {
    observe(`portal-${round}`, 'render', round * 500);
    model.removeGroup(`portal-${round}.0`, [`portal-${round}.0`]);
  }
  assert.ok(model.pairs().length <= 64 + 256, `${model.pairs().length} pairs`);
});

test('an image that takes the place of another begins without its estimate', () => {
  // Guards against best-effort tasks that are throttled, or trusted, for what
  // tasks of a forgotten image did.
  const model = new TailInterference();
  let nowMs = 0;
  const observe = (fill: string, tailMs: number): void => {
    nowMs += 500;
    const fills = fill === '' ? [] : [{image: fill, share: 1}];
    model.observe({task: 't', image: 'portal', tailMs, fills, nowMs});
  };
  const unknown = model.pressureOf('portal', 'never seen');
  for (let round = 0; round < 200; round++) {
    observe('', 100 + (round % 2));
    observe('harmful', 900 + (round % 2));
  }
  assert.notEqual(model.pressureOf('portal', 'harmful'), unknown);
  for (let round = 0; round < 64; round++) observe(`other-${round}`, 300);
  assert.equal(model.pressureOf('portal', 'harmful'), unknown);
});
