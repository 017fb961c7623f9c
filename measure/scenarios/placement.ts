import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {build} from 'hdr-histogram-js';

import {ManualClock} from '../../src/clock/manual_clock.js';
import {SlowdownModel} from '../../src/interference/slowdown_model.js';
import {BestFit} from '../../src/placement/best_fit.js';
import {FirstFit} from '../../src/placement/first_fit.js';
import {HeadroomFit} from '../../src/placement/headroom_fit.js';
import {PlacementPolicy} from '../../src/placement/placement_policy.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Scenario, ScenarioOptions} from '../scenario.js';
import {PlacementLoad} from './placement_load.js';

const SIZES = [45, 450, 4_500, 22_000] as const;
/** 22,000 workers are shared by 18 data centres with 9 schedulers each. */
const WORKERS_PER_OWNER = Math.ceil(22_000 / (18 * 9));
/** Fewer for the baselines, because filling 22,000 workers takes too long. */
const BASELINE_WORKERS = 4_500;
const WARM_UP_DECISIONS = 5_000;
const DECISIONS = 20_000;
const KINDS = 20;
const NS_PER_MS = 1_000_000;
/** Fraction of a core on which an owner must reach 1,800 starts per second. */
const CORE_FRACTION = 0.1;

interface SizeResult {
  decisionP50Us: number;
  decisionP99Us: number;
  decisionsPerSecond: number;
  startsPerSecondOnTenthOfCore: number;
  bytesPerTask: number;
  tasks: number;
  refused: number;
  evictions: number;
  violations: number;
}

/**
 * Measures the cost of placement decisions without I/O at several numbers of
 * workers, all of them full with about ten running tasks per worker.
 */
export const runPlacement: Scenario = async (options) => {
  const createPolicy = (): PlacementPolicy =>
    new HeadroomFit({slowdown: createLearnedSlowdown(options.seed)});
  const sizes: Record<string, SizeResult> = {};
  for (const workers of SIZES) {
    sizes[workers] = await measureSize(createPolicy(), {...options, workers});
  }
  const owner = await measureSize(createPolicy(), {
    ...options,
    workers: WORKERS_PER_OWNER,
  });
  const baselines: Record<string, SizeResult> = {};
  for (const policy of [new FirstFit(), new BestFit()]) {
    baselines[policy.name] = await measureSize(policy, {
      ...options,
      workers: BASELINE_WORKERS,
    });
  }
  const fullDeployment = sizes[22_000]!;
  const results = [...Object.values(sizes), owner, ...Object.values(baselines)];
  return {
    sizes,
    baselines: {workers: BASELINE_WORKERS, ...baselines},
    growth: round(fullDeployment.decisionP50Us / sizes[45]!.decisionP50Us),
    ownerWorkers: WORKERS_PER_OWNER,
    ownerStartsPerSecondOnTenthOfCore: owner.startsPerSecondOnTenthOfCore,
    wholeStartsPerSecondOnTenthOfCore:
      fullDeployment.startsPerSecondOnTenthOfCore,
    violations: results.reduce((sum, result) => sum + result.violations, 0),
  };
};

function measureSize(
  policy: PlacementPolicy,
  options: ScenarioOptions & {workers: number},
): Promise<SizeResult> {
  const {seed, workers} = options;
  const bytesBefore = usedHeapBytes();
  const random = new SeededRandom(seed);
  const load = new PlacementLoad(policy, {workers, random});
  const bytesWithoutTasks = usedHeapBytes();
  load.fill();
  const bytesPerTask =
    (usedHeapBytes() - bytesWithoutTasks) / Math.max(1, load.runningCount);
  for (let i = 0; i < WARM_UP_DECISIONS; i++) load.replaceTask();
  const timed = timeDecisions(load);
  load.checkCapacities();
  options.progress(
    `${policy.name}, ${workers} workers: p50 ${timed.decisionP50Us} us, ${Math.round((bytesWithoutTasks - bytesBefore) / workers)} bytes per worker`,
  );
  return Promise.resolve({
    ...timed,
    bytesPerTask: Math.round(bytesPerTask),
    tasks: load.runningCount,
    refused: load.refused,
    evictions: load.evictions,
    violations: load.violations,
  });
}

function timeDecisions(
  load: PlacementLoad,
): Pick<
  SizeResult,
  | 'decisionP50Us'
  | 'decisionP99Us'
  | 'decisionsPerSecond'
  | 'startsPerSecondOnTenthOfCore'
> {
  const histogram = build({numberOfSignificantValueDigits: 3});
  let decisionsMs = 0;
  const cpuBefore = process.cpuUsage();
  for (let i = 0; i < DECISIONS; i++) {
    const tookMs = load.replaceTask();
    decisionsMs += tookMs;
    histogram.recordValue(Math.round(tookMs * NS_PER_MS));
  }
  // Includes release, commit, garbage collection and the load generator.
  const cpu = process.cpuUsage(cpuBefore);
  const cpuSeconds = (cpu.user + cpu.system) / 1e6;
  return {
    decisionP50Us: round(histogram.getValueAtPercentile(50) / 1000),
    decisionP99Us: round(histogram.getValueAtPercentile(99) / 1000),
    decisionsPerSecond: Math.round((DECISIONS / decisionsMs) * 1000),
    startsPerSecondOnTenthOfCore: Math.round(
      (DECISIONS / cpuSeconds) * CORE_FRACTION,
    ),
  };
}

/** Returns the slowdowns of a model that was trained on all pairs of kinds. */
function createLearnedSlowdown(
  seed: number,
): (kind: string, neighbour: string) => number {
  const clock = new ManualClock();
  const model = new SlowdownModel(clock);
  const random = new SeededRandom(seed);
  for (let i = 0; i < KINDS * KINDS; i++) {
    const kinds = [i % KINDS, Math.floor(i / KINDS)];
    const speed = 0.6 + 0.4 * random.next();
    const tasks = kinds.map((kind, index) => {
      return {taskId: `${i}/${index}`, kind: `k${kind}`, speed, throttle: 1};
    });
    model.observeWorker('w', tasks);
    clock.advance(3_000);
    model.observeWorker('w', tasks);
  }
  return (kind, neighbour) => model.slowdown(kind, neighbour);
}

function usedHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
