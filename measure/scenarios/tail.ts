import {build, Histogram} from 'hdr-histogram-js';

import {BaselineAdmissionPolicy} from '../../src/admission/baseline_admission_policy.js';
import {sleep} from '../../src/clock/sleep.js';
import {SystemClock} from '../../src/clock/system_clock.js';
import {contractSchema} from '../../src/contracts/contract.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {LeastLoadedRouting} from '../../src/routing/least_loaded_routing.js';
import {RandomRouting} from '../../src/routing/random_routing.js';
import {RoutingPolicy} from '../../src/routing/routing_policy.js';
import {PowerOfTwoChoicesRouting} from '../../src/routing/power_of_two_choices_routing.js';
import {DirectRouter} from '../direct_router.js';
import {generatePoissonArrivals} from '../poisson_arrivals.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';
import {startTargetFleet, TargetFleet} from '../target_fleet.js';

const TARGETS = 10;
const SLOTS = 8;
const SLOT_UTILISATION = 0.8;

/** Longer than in production, so that one process can generate the load. */
const WORK_MS = 60;

/**
 * Initial time in ms with healthy targets, whose latencies are not recorded.
 */
const WARM_UP_MS = 1500;

const SLOWED_TARGET = 't3';
const SLOWDOWN = 5;
const ROUNDS = 2;

interface RoundOptions {
  fleet: TargetFleet;
  routing: RoutingPolicy;
  seed: number;
  durationMs: number;
}

function createPolicies(seed: number): RoutingPolicy[] {
  const clock = new SystemClock();
  return [
    new RandomRouting(new SeededRandom(seed)),
    new PowerOfTwoChoicesRouting(new SeededRandom(seed)),
    new LeastLoadedRouting({clock, random: new SeededRandom(seed)}),
  ];
}

/**
 * Measures one policy; after the warm-up one target slows down without notice
 * to the router.
 */
async function runRound(round: RoundOptions): Promise<Histogram> {
  const {fleet, routing, seed, durationMs} = round;
  const clock = new SystemClock();
  const contract = contractSchema.parse({
    customer: 'kettridge',
    callers: [{name: 'crew', keyHash: '0'.repeat(64)}],
    urgencies: {urgent: {maxWaiting: 100_000}},
  });
  const contracts = {contract: () => contract};
  // With one caller and one urgency, any policy keeps the order of arrival.
  const order = 'first-in-first-out';
  const admission = new BaselineAdmissionPolicy({clock, contracts, order});
  const {origins} = fleet;
  const router = new DirectRouter({clock, admission, routing, origins});
  const histogram = build({numberOfSignificantValueDigits: 3});
  const random = new SeededRandom(seed);
  let requestCount = 0;
  const startMs = clock.nowMs();
  const sendRequest = async (): Promise<void> => {
    const arrivedMs = clock.nowMs();
    const workMs = WORK_MS * (0.5 + random.next());
    const isRecorded = arrivedMs - startMs >= WARM_UP_MS;
    const end = await router.submit(
      {
        requestId: String(requestCount++),
        customer: 'kettridge',
        caller: 'crew',
        service: 'dispatch',
        urgency: 'urgent',
        arrivedMs,
        deadlineMs: arrivedMs + 30_000,
      },
      workMs,
    );
    if (end !== 'answered') throw new Error(`Cannot complete request: ${end}`);
    const latencyMs = clock.nowMs() - arrivedMs;
    if (isRecorded) histogram.recordValue(Math.round(latencyMs * 1000));
  };
  const slowdownStart = sleep(WARM_UP_MS).then(() =>
    fleet.setFaults(SLOWED_TARGET, {slowdown: SLOWDOWN}),
  );
  const perSecond = ((TARGETS * SLOTS * SLOT_UTILISATION) / WORK_MS) * 1000;
  const arrivalRandom = new SeededRandom(seed + 1000);
  await generatePoissonArrivals({
    random: arrivalRandom,
    perSecond,
    durationMs,
    onArrival: sendRequest,
  });
  await slowdownStart;
  await router.stop();
  await fleet.setFaults(SLOWED_TARGET, {});
  return histogram;
}

/**
 * Measures tail latency at 80% slot utilisation while one of ten targets is
 * slowed down fivefold, for each routing policy with the same seeds.
 */
export async function runTail(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const names = createPolicies(1).map((policy) => policy.name);
  const fleet = await startTargetFleet({count: TARGETS, workMs: WORK_MS});
  const totals = new Map<string, Histogram>();
  const totalMs = Math.min(46, Math.max(12, options.seconds)) * 1000;
  const durationMs = totalMs / (ROUNDS * names.length);
  try {
    for (let i = 0; i < ROUNDS; i++) {
      const seed = options.seed * 100 + i;
      for (const routing of createPolicies(seed)) {
        const result = await runRound({fleet, routing, seed, durationMs});
        const total = totals.get(routing.name);
        if (total) total.add(result);
        else totals.set(routing.name, result);
        const p99Ms = result.getValueAtPercentile(99) / 1000;
        options.progress(`${routing.name}, seed ${seed}: p99 ${p99Ms} ms`);
      }
    }
    const percentilesByPolicy = (percentile: number): Record<string, number> =>
      Object.fromEntries(
        [...totals].map(([name, histogram]) => [
          name,
          histogram.getValueAtPercentile(percentile) / 1000,
        ]),
      );
    const p99Ms = percentilesByPolicy(99);
    return {
      violations: await fleet.violations(),
      requests: totals.get('least loaded')?.totalCount,
      p50Ms: percentilesByPolicy(50),
      p99Ms,
      p99RatioToTwoChoices: p99Ms['least loaded']! / p99Ms['two choices']!,
    };
  } finally {
    await fleet.stop();
  }
}
