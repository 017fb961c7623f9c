import {build} from 'hdr-histogram-js';

import {AdmissionPolicy} from '../../src/admission/admission_policy.js';
import {BaselinePolicy} from '../../src/admission/baseline_policy.js';
import {FairQueueingPolicy} from '../../src/admission/fair_queueing_policy.js';
import {SystemClock} from '../../src/clock/system_clock.js';
import {Urgency, URGENCIES} from '../../src/contracts/urgency.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {LeastLoadedRouting} from '../../src/routing/least_loaded_routing.js';
import {DirectRouter} from '../direct_router.js';
import {
  fairShares,
  FLOOD_LOAD,
  FLOODER,
  floodContracts,
  LoadFlow,
  ordinaryFlows,
} from '../flood_load.js';
import {FlowRecord} from '../flow_record.js';
import {openArrivals} from '../open_arrivals.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';
import {startTargetFleet, TargetFleet} from '../target_fleet.js';

const TARGETS = 3;
const SLOTS = 8;
const WORK_MS = 40;

/**
 * Work times vary by this part in both directions. Equal times would keep the
 * slots in step from the start of the flood on: all become free at once.
 */
const WORK_SPREAD = 0.5;

/** Requests per second that the slots can serve. */
const CAPACITY = ((TARGETS * SLOTS) / WORK_MS) * 1000;

const SERVICE = 'dispatch';

/** Part of a policy's time that passes before the flood. */
const BEFORE_PART = 0.4;

interface Phase {
  durationMs: number;
  records: FlowRecord[];
}

interface Figures {
  othersKeptFraction: number;
  othersKeptOfBefore: number;
  urgentP99BeforeMs: number;
  urgentP99DuringMs: number;
  urgentP99Ratio: number;
  callerFairness: number;
  queuedMax: number;
  queuedLimit: number;
  floodAnsweredPerSecond: number;
}

const CONTRACTS = floodContracts();

function policies(clock: SystemClock): Array<[string, AdmissionPolicy]> {
  const contracts = {contract: (name: string) => CONTRACTS.get(name)};
  return [
    [
      'firstInFirstOut',
      new BaselinePolicy({clock, contracts, order: 'first-in-first-out'}),
    ],
    [
      'strictPriority',
      new BaselinePolicy({clock, contracts, order: 'strict-priority'}),
    ],
    ['fairQueueing', new FairQueueingPolicy({clock, contracts})],
  ];
}

/** Produces the load of a set of flows through one router. */
class LoadGenerator {
  private sent = 0;
  private readonly random = new SeededRandom(1);

  constructor(
    private readonly router: DirectRouter,
    private readonly clock: SystemClock,
  ) {}

  async run(
    flows: readonly LoadFlow[],
    options: {durationMs: number; seed: number},
  ): Promise<Phase> {
    const {durationMs, seed} = options;
    const records = flows.map((flow) => new FlowRecord(flow));
    await Promise.all(
      records.map((record, index) =>
        openArrivals({
          random: new SeededRandom(seed * 100 + index),
          perSecond: record.flow.load * CAPACITY,
          durationMs,
          arrive: () => this.arrive(record),
        }),
      ),
    );
    return {durationMs, records};
  }

  private async arrive(record: FlowRecord): Promise<void> {
    const {customer, caller, urgency} = record.flow;
    const {timeoutMs} = CONTRACTS.get(customer)!.urgencies[urgency];
    const arrivedMs = this.clock.nowMs();
    record.offered += 1;
    const request = {
      requestId: String(this.sent++),
      customer,
      caller,
      service: SERVICE,
      urgency,
      arrivedMs,
      deadlineMs: arrivedMs + timeoutMs,
    };
    const factor = 1 + WORK_SPREAD * (2 * this.random.next() - 1);
    const end = await this.router.submit(request, WORK_MS * factor);
    if (end === 'answered') record.add(this.clock.nowMs() - arrivedMs);
  }
}

function isFlooder(flow: LoadFlow): boolean {
  return flow.caller === FLOODER.caller;
}

function perSecond(record: FlowRecord, phase: Phase): number {
  return (record.answered / phase.durationMs) * 1000;
}

/**
 * Smallest part that a flow kept of what it got before, or of its contract's
 * floor if that is lower. What it got before is taken relative to what was
 * offered, because random arrivals differ between the phases.
 */
function smallestKept(before: Phase, during: Phase): number {
  const kept = during.records
    .filter((record) => !isFlooder(record.flow))
    .map((record, index) => {
      const {customer, urgency, load} = record.flow;
      const sameClass = before.records
        .map((other) => other.flow)
        .filter((f) => f.customer === customer && f.urgency === urgency);
      const part = load / sameClass.reduce((sum, f) => sum + f.load, 0);
      const {floor} = CONTRACTS.get(customer)!.urgencies[urgency];
      const earlier = before.records[index]!;
      const rateBefore =
        (earlier.answered / earlier.offered) * offered(record, during);
      const due = Math.min(rateBefore, floor * CAPACITY * part);
      return perSecond(record, during) / due;
    });
  return Math.min(...kept);
}

function offered(record: FlowRecord, phase: Phase): number {
  return (record.offered / phase.durationMs) * 1000;
}

function totalKept(before: Phase, during: Phase): number {
  const answeredPart = (phase: Phase): number => {
    const others = phase.records.filter((r) => !isFlooder(r.flow));
    const answered = others.reduce((sum, r) => sum + r.answered, 0);
    return answered / others.reduce((sum, r) => sum + r.offered, 0);
  };
  return answeredPart(during) / answeredPart(before);
}

function urgentP99Ms(phase: Phase): number {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const {flow, latencyMicroseconds} of phase.records) {
    if (flow.urgency !== 'urgent' || isFlooder(flow)) continue;
    histogram.add(latencyMicroseconds);
  }
  return histogram.getValueAtPercentile(99) / 1000;
}

/** Smallest share over fair share among the flooder and its colleagues. */
function callerFairness(during: Phase, urgency: Urgency): number {
  const group = during.records.filter(
    ({flow}) => flow.customer === FLOODER.customer && flow.urgency === urgency,
  );
  const demands = group.map((record) => record.offered);
  const total = group.reduce((sum, record) => sum + record.answered, 0);
  const fair = fairShares(demands, total);
  return Math.min(...group.map((record, i) => record.answered / fair[i]!));
}

async function runPolicy(
  admission: AdmissionPolicy,
  options: {
    fleet: TargetFleet;
    clock: SystemClock;
    urgency: Urgency;
    seed: number;
    durationMs: number;
  },
): Promise<Figures> {
  const {fleet, clock, urgency, seed, durationMs} = options;
  const random = new SeededRandom(seed);
  const routing = new LeastLoadedRouting({clock, random});
  const {origins} = fleet;
  const router = new DirectRouter({clock, admission, routing, origins});
  const generator = new LoadGenerator(router, clock);
  const ordinary = ordinaryFlows();
  const beforeMs = durationMs * BEFORE_PART;
  // Opens the connections; not part of the figures.
  await generator.run(ordinary, {durationMs: 500, seed: seed + 2});
  const before = await generator.run(ordinary, {durationMs: beforeMs, seed});
  const flows = [...ordinary, {...FLOODER, urgency, load: FLOOD_LOAD}];
  const during = await generator.run(flows, {
    durationMs: durationMs - beforeMs,
    seed: seed + 1,
  });
  await router.stop();
  const flood = during.records.find((record) => isFlooder(record.flow))!;
  const urgentP99BeforeMs = urgentP99Ms(before);
  const urgentP99DuringMs = urgentP99Ms(during);
  const key = `${FLOODER.customer}/${urgency}`;
  return {
    othersKeptFraction: smallestKept(before, during),
    othersKeptOfBefore: totalKept(before, during),
    urgentP99BeforeMs,
    urgentP99DuringMs,
    urgentP99Ratio: urgentP99DuringMs / urgentP99BeforeMs,
    callerFairness: callerFairness(during, urgency),
    queuedMax: router.waitingMax.get(key) ?? 0,
    queuedLimit: CONTRACTS.get(FLOODER.customer)!.urgencies[urgency].maxWaiting,
    floodAnsweredPerSecond: perSecond(flood, during),
  };
}

/**
 * One caller sends one class of requests at ten times the capacity; measures
 * what the other work keeps, with fair queueing and with both baselines.
 */
export async function runFlood(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const name = options.flags['class'] ?? 'batch';
  const urgency = URGENCIES.find((known) => known === name);
  if (!urgency) {
    throw new RangeError(
      `Cannot measure flood: given --class "${name}"; allowed: ${URGENCIES.join(', ')}`,
    );
  }
  const clock = new SystemClock();
  const fleet = await startTargetFleet({count: TARGETS, workMs: WORK_MS});
  const totalMs = Math.min(42, Math.max(12, options.seconds)) * 1000;
  const baselines: Record<string, Figures> = {};
  try {
    const all = policies(clock);
    for (const [policyName, admission] of all) {
      baselines[policyName] = await runPolicy(admission, {
        fleet,
        clock,
        urgency,
        seed: options.seed,
        durationMs: totalMs / all.length,
      });
      options.progress(
        `${policyName}: ${JSON.stringify(baselines[policyName])}`,
      );
    }
    const {fairQueueing, ...others} = baselines;
    const violations = await fleet.violations();
    return {violations, class: urgency, ...fairQueueing, baselines: others};
  } finally {
    await fleet.stop();
  }
}
