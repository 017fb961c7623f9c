import {readFileSync} from 'node:fs';

import {sleep} from '../../src/clock/sleep.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Caller} from '../../testing/caller.js';
import {Fleet} from '../../testing/fleet.js';
import {callOperatorApi, hashKey} from '../../testing/operator_api.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';
import {FaultLoad} from './fault_load.js';
import {FaultInjector} from './fault_injector.js';
import {OperatorRace} from './operator_race.js';

const KEY = 'counter-key';
const CONTRACT = {
  customer: 'association',
  services: ['portal'],
  callers: [{name: 'counter', keyHash: hashKey(KEY)}],
};
const SETTLE_MS = 4000;
const JOB_COMPLETION_TIMEOUT_MS = 30_000;
/** Memory growth is measured from this fraction of the run to its end. */
const WARM_UP_FRACTION = 0.4;

/**
 * Runs requests, jobs and concurrent contract changes while random faults are
 * injected, at most two at the same time.
 */
export async function runFaults(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const fleet = await startFleet(options);
  const origins = fleet.members.map(({member}) => fleet.entryOrigin(member));
  const caller = new Caller({origins, key: KEY, connections: 256});
  try {
    await fleet.waitUntilReady();
    await createContract(fleet);
    await sleep(SETTLE_MS);
    const random = new SeededRandom(options.seed);
    const load = new FaultLoad(caller, random);
    const injector = new FaultInjector(
      fleet,
      new SeededRandom(options.seed + 1),
    );
    const operatorRace = new OperatorRace(fleet, CONTRACT);
    const durationMs = options.seconds * 1000;
    const untilMs = performance.now() + durationMs;
    const memoryAfterWarmUp = sleep(durationMs * WARM_UP_FRACTION).then(() =>
      readResidentMemory(fleet),
    );
    await Promise.all([
      load.run(untilMs),
      injector.run(untilMs),
      operatorRace.run(untilMs),
    ]);
    options.progress(`faults: ${JSON.stringify(injector.counts)}`);
    const growth = maxMemoryGrowth(await memoryAfterWarmUp, {fleet, injector});
    const unfinished = await load.waitForJobs(JOB_COMPLETION_TIMEOUT_MS);
    for (const id of unfinished.slice(0, 3)) {
      const {body} = await caller.callJobApi('GET', {path: `/${id}`});
      options.progress(`unfinished: ${JSON.stringify(body)}`);
    }
    return await summarize(fleet, {
      load,
      injector,
      operatorRace,
      growth,
      unfinished,
    });
  } finally {
    await caller.stop();
    await fleet.stop();
  }
}

function startFleet({seed}: ScenarioOptions): Promise<Fleet> {
  const dataCentre = {entryVms: 2, targets: 4, racks: 2, workersPerRack: 3};
  return Fleet.start({
    folder: `.run/faults-${seed}`,
    dataCentres: [
      {name: 'limoilou', ...dataCentre},
      {name: 'levis', ...dataCentre},
    ],
    clockRates: [1, 0.99, 1.01],
    withFaultyLinks: true,
    seed,
  });
}

async function createContract(fleet: Fleet): Promise<void> {
  const answer = await callOperatorApi(fleet.entryOrigin('limoilou-vm-1'), {
    method: 'PUT',
    path: '/v1/contracts/association',
    body: CONTRACT,
    ifMatch: 0,
  });
  if (answer.status >= 300) throw new Error(JSON.stringify(answer.body));
}

/** Returns the resident memory in MB of each entry and scheduler process. */
function readResidentMemory(fleet: Fleet): Map<string, number> {
  const memory = new Map<string, number>();
  for (const {member} of fleet.members) {
    for (const role of ['entry', 'scheduler']) {
      const {pid} = fleet.process(role, member);
      if (pid === undefined) continue;
      const status = readFileSync(`/proc/${pid}/status`, 'utf8');
      const kilobytes = /VmRSS:\s+(\d+)/.exec(status)?.[1];
      memory.set(`${role} ${member}`, Number(kilobytes) / 1024);
    }
  }
  return memory;
}

/**
 * Returns the largest relative growth among processes that were never
 * restarted.
 */
function maxMemoryGrowth(
  baseline: ReadonlyMap<string, number>,
  run: {fleet: Fleet; injector: FaultInjector},
): number {
  const growths = [0];
  for (const [name, megabytes] of readResidentMemory(run.fleet)) {
    const before = baseline.get(name);
    if (before === undefined || run.injector.restarted.has(name)) continue;
    growths.push(megabytes / before - 1);
  }
  return Number(Math.max(...growths).toFixed(3));
}

async function summarize(
  fleet: Fleet,
  run: {
    load: FaultLoad;
    injector: FaultInjector;
    operatorRace: OperatorRace;
    growth: number;
    unfinished: string[];
  },
): Promise<ScenarioResult> {
  const {load, injector, operatorRace, growth, unfinished} = run;
  const targets = await fleet.targetsControl({
    ranAmong: [...load.reportedNotRunKeys],
  });
  const workers = await fleet.workersControl();
  const violations = targets['violations'] as Record<string, number>;
  const toldNotRunButRan = (targets['ranAmong'] as string[]).length;
  return {
    violations: (await fleet.violations()) + toldNotRunButRan,
    requests: load.requests,
    answered: load.answered,
    notRun: load.notRun,
    mayHaveRun: load.mayHaveRun,
    noAnswer: load.noAnswer,
    wrongAnswers: load.wrongAnswers,
    ranTwice: violations['ranTwice'],
    toldNotRunButRan,
    availability: Number(
      (load.idempotentAnswered / load.idempotent).toFixed(5),
    ),
    jobsAccepted: load.acceptedJobs.size,
    cancelledBeforeStart: load.cancelledBeforeStart.size,
    lostJobs: unfinished.length,
    unfinished: unfinished.slice(0, 3),
    reverted: operatorRace.reverted,
    changes: operatorRace.changes,
    conflicts: operatorRace.conflicts,
    lostUpdates: operatorRace.lostUpdates,
    memoryGrowth: growth,
    faults: injector.counts,
    targetViolations: violations,
    taskViolations: workers['violations'],
    details: workers['details'],
  };
}
