import {Agent, request} from 'undici';

import {AdmissionPolicy} from '../../src/admission/admission_policy.js';
import {BaselineAdmissionPolicy} from '../../src/admission/baseline_admission_policy.js';
import {FairQueueingPolicy} from '../../src/admission/fair_queueing_policy.js';
import {SystemClock} from '../../src/clock/system_clock.js';
import {Urgency, URGENCIES} from '../../src/contracts/urgency.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {LeastLoadedRouting} from '../../src/routing/least_loaded_routing.js';
import {DirectRouter} from '../direct_router.js';
import {
  entryOrigins,
  callerKey,
  SERVICE_PATH,
  startEntryFleet,
  createCallerEntries,
} from '../entry_fleet.js';
import {FloodMetrics, measureFlood} from '../flood_metrics.js';
import {FloodGenerator, FlowSender} from '../flood_generator.js';
import {FLOODER, floodContracts} from '../flood_load.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';
import {startTargetFleet, TargetFleet} from '../target_fleet.js';
import {WaitingRequestSampler} from '../waiting_request_sampler.js';

const TARGETS = 3;
const SLOTS = 8;

/** Work time in ms of requests that are sent without entries. */
const DIRECT_WORK_MS = 40;

/**
 * Work time in ms of requests through entries. Longer, so that the flood does
 * not use up the CPUs of the machine.
 */
const ENTRY_WORK_MS = 240;

const ENTRIES = 2;

/**
 * Two for each entry, so that round robin over the entries matches the slots.
 */
const ENTRY_TARGETS = 4;

/** Fraction of the time that is spent on the entry processes. */
const ENTRY_TIME_FRACTION = 0.4;

const CONTRACTS = floodContracts();

type FloodResult = FloodMetrics & {queuedMax: number; queuedLimit: number};

interface FloodRunOptions {
  urgency: Urgency;
  seed: number;
  durationMs: number;
}

function capacityFor(targets: number, workMs: number): number {
  return ((targets * SLOTS) / workMs) * 1000;
}

function maxWaitingOf(urgency: Urgency): number {
  return CONTRACTS.get(FLOODER.customer)!.urgencies[urgency].maxWaiting;
}

function createPolicies(clock: SystemClock): Array<[string, AdmissionPolicy]> {
  const contracts = {contract: (name: string) => CONTRACTS.get(name)};
  return [
    [
      'firstInFirstOut',
      new BaselineAdmissionPolicy({
        clock,
        contracts,
        order: 'first-in-first-out',
      }),
    ],
    [
      'strictPriority',
      new BaselineAdmissionPolicy({clock, contracts, order: 'strict-priority'}),
    ],
    ['fairQueueing', new FairQueueingPolicy({clock, contracts})],
  ];
}

function createDirectSender(
  router: DirectRouter,
  clock: SystemClock,
): FlowSender {
  let requestCount = 0;
  return async ({customer, caller, urgency}, workMs) => {
    const {timeoutMs} = CONTRACTS.get(customer)!.urgencies[urgency];
    const arrivedMs = clock.nowMs();
    const outcome = await router.submit(
      {
        requestId: String(requestCount++),
        customer,
        caller,
        service: 'portal',
        urgency,
        arrivedMs,
        deadlineMs: arrivedMs + timeoutMs,
      },
      workMs,
    );
    return outcome === 'answered';
  };
}

/** Measures one policy in an in-process router, without entries. */
async function runPolicy(
  admission: AdmissionPolicy,
  options: FloodRunOptions & {fleet: TargetFleet; clock: SystemClock},
): Promise<FloodResult> {
  const {fleet, clock, ...run} = options;
  const random = new SeededRandom(run.seed);
  const routing = new LeastLoadedRouting({clock, random});
  const {origins} = fleet;
  const router = new DirectRouter({clock, admission, routing, origins});
  const workMs = DIRECT_WORK_MS;
  const capacity = capacityFor(TARGETS, workMs);
  const send = createDirectSender(router, clock);
  const generator = new FloodGenerator({send, workMs, capacity});
  const figures = await measureFlood({...run, generator, capacity});
  await router.stop();
  const key = `${FLOODER.customer}/${run.urgency}`;
  const queuedMax = router.maxWaitingByClass.get(key) ?? 0;
  return {...figures, queuedMax, queuedLimit: maxWaitingOf(run.urgency)};
}

async function comparePolicies(
  options: FloodRunOptions & {progress: (text: string) => void},
): Promise<{figures: Record<string, FloodResult>; violations: number}> {
  const {progress, urgency, seed} = options;
  const clock = new SystemClock();
  const workMs = DIRECT_WORK_MS;
  const fleet = await startTargetFleet({count: TARGETS, workMs});
  const figures: Record<string, FloodResult> = {};
  const policies = createPolicies(clock);
  const durationMs = options.durationMs / policies.length;
  try {
    for (const [name, admission] of policies) {
      const run = {fleet, clock, urgency, seed, durationMs};
      figures[name] = await runPolicy(admission, run);
      progress(`${name}: ${JSON.stringify(figures[name])}`);
    }
    return {figures, violations: await fleet.violations()};
  } finally {
    await fleet.stop();
  }
}

function createEntrySender(
  origins: readonly string[],
  agent: Agent,
): FlowSender {
  let originIndex = 0;
  return async ({customer, caller, urgency}, workMs) => {
    originIndex = (originIndex + 1) % origins.length;
    try {
      const answer = await request(origins[originIndex]! + SERVICE_PATH, {
        dispatcher: agent,
        headers: {
          authorization: `Bearer ${callerKey(customer, caller)}`,
          'banyanmux-urgency': urgency,
          'x-work-ms': String(workMs),
        },
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  };
}

/** Measures entry processes over HTTP. */
async function runEntries(
  run: FloodRunOptions,
): Promise<FloodResult & {violations: number}> {
  const workMs = ENTRY_WORK_MS;
  const contracts = [...CONTRACTS.values()].map((contract) => {
    const {customer} = contract;
    const names = contract.callers.map(({name}) => name);
    const callers = createCallerEntries(customer, names);
    return {...contract, services: ['portal'], callers};
  });
  const fleet = await startEntryFleet({
    entries: ENTRIES,
    targets: ENTRY_TARGETS,
    workMs,
    contracts,
  });
  const agent = new Agent({connections: 500});
  const origins = entryOrigins(fleet);
  const sampler = new WaitingRequestSampler(origins);
  try {
    const capacity = capacityFor(ENTRY_TARGETS, workMs);
    const send = createEntrySender(origins, agent);
    const generator = new FloodGenerator({send, workMs, capacity});
    const figures = await measureFlood({...run, generator, capacity});
    return {
      violations: await fleet.violations(),
      ...figures,
      queuedMax: sampler.stop(),
      queuedLimit: maxWaitingOf(run.urgency),
    };
  } finally {
    sampler.stop();
    await agent.destroy();
    await fleet.stop();
  }
}

/**
 * Measures how other requests fare while one caller sends requests of one
 * urgency at ten times the capacity: through entry processes, and in an
 * in-process router for fair queueing and both baselines.
 */
export async function runFlood(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const {seed} = options;
  const progress = (text: string): void => options.progress(text);
  const className = options.flags['class'] ?? 'batch';
  const urgency = URGENCIES.find((known) => known === className);
  if (!urgency) {
    throw new RangeError(
      `Cannot measure flood: given --class "${className}"; allowed: ${URGENCIES.join(', ')}`,
    );
  }
  const totalMs = Math.min(38, Math.max(15, options.seconds)) * 1000;
  const entries = await runEntries({
    urgency,
    seed,
    durationMs: totalMs * ENTRY_TIME_FRACTION,
  });
  progress(`entries: ${JSON.stringify(entries)}`);
  const {figures, violations} = await comparePolicies({
    urgency,
    seed,
    durationMs: totalMs * (1 - ENTRY_TIME_FRACTION),
    progress,
  });
  return {
    ...entries,
    violations: entries.violations + violations,
    class: urgency,
    withoutHttp: figures,
  };
}
