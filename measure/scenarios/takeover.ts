import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../../src/clock/sleep.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Fleet} from '../../testing/fleet.js';
import {JobLoad} from '../../testing/job_load.js';
import {SchedulerCaller} from '../../testing/scheduler_caller.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

const DATA_CENTRE = 'd';
const MEMBERS = 3;
const RACKS = 3;
const PAUSE_MS = 4000;
const PROBE_TIMEOUT_MS = 700;
const GIVE_UP_MS = 12_000;

/** What the scenario works with. */
interface Bench {
  fleet: Fleet;
  callers: Map<string, SchedulerCaller>;
  load: JobLoad;
  options: ScenarioOptions;
}

/**
 * Kills or pauses owners of shards under load. The interruption of a shard is
 * the time from the failure to the end of the first short attached task that
 * is accepted, placed and run on the shard afterwards.
 */
export async function runTakeover(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const bench = await startBench(options);
  try {
    await untilOwned(bench);
    const running = bench.load.run();
    await sleep(1500);
    const interruptions: number[] = [];
    const members = [...bench.callers.keys()];
    interruptions.push(...(await killAndRestart(bench, members[0]!)));
    interruptions.push(...(await pause(bench, members[1]!)));
    interruptions.push(...(await killAndRestart(bench, members[2]!)));
    await bench.load.stop();
    await running;
    const unfinishedJobs = await bench.load.waitForEnds(9000);
    return await summarize(bench, {interruptions, unfinishedJobs});
  } finally {
    for (const caller of bench.callers.values()) caller.stop();
    await bench.fleet.stop();
  }
}

async function startBench(options: ScenarioOptions): Promise<Bench> {
  const fleet = await Fleet.start({
    dataCentres: [
      {
        name: DATA_CENTRE,
        entryVms: MEMBERS,
        targets: 0,
        racks: RACKS,
        workersPerRack: 3,
      },
    ],
    workerCapacity: {processors: 8, memoryMegabytes: 8000, accelerators: 0},
    clockRates: [0.98, 1, 1.02],
    seed: options.seed,
    folder: mkdtempSync(join(tmpdir(), 'takeover-')),
  });
  const callers = new Map(
    fleet.members.map(({member, schedulerLinkPort: port}) => [
      member,
      new SchedulerCaller({port, dataCentre: DATA_CENTRE}),
    ]),
  );
  const load = new JobLoad({
    callers: [...callers.values()],
    random: new SeededRandom(options.seed),
    intervalMs: 60,
  });
  return {fleet, callers, load, options};
}

/** Waits until each shard runs a probe and each member owns one. */
async function untilOwned(bench: Bench): Promise<void> {
  const deadlineMs = performance.now() + 15_000;
  for (;;) {
    const record = await ownershipOf(bench);
    const owners = new Set(Object.values(record));
    if (owners.size === MEMBERS) break;
    if (performance.now() > deadlineMs) {
      throw new Error(`Cannot start: owners are ${[...owners].join(', ')}`);
    }
    await sleep(100);
  }
  const shards = Object.keys(await ownershipOf(bench));
  await Promise.all(shards.map((shard) => probe(bench, {shard})));
  bench.options.progress('each scheduler owns a shard and runs tasks');
}

/** Owner of each shard by the platform's record. */
async function ownershipOf(bench: Bench): Promise<Record<string, string>> {
  const key = encodeURIComponent(`ownership/${DATA_CENTRE}/scheduler`);
  const port = bench.fleet.platformPort;
  const answer = await fetch(`http://127.0.0.1:${port}/kv/${key}`);
  if (answer.status !== 200) return {};
  const {value} = (await answer.json()) as {value: string};
  const {shards} = JSON.parse(value) as {
    shards: Record<string, {member: string}>;
  };
  return Object.fromEntries(
    Object.entries(shards).map(([shard, {member}]) => [shard, member]),
  );
}

/** Runs a short attached task on a shard; returns the time in ms it took. */
async function probe(
  bench: Bench,
  target: {shard: string; without?: string},
): Promise<number> {
  const startMs = performance.now();
  const others = [...bench.callers].filter(
    ([member]) => member !== target.without,
  );
  for (let attempt = 0; ; attempt++) {
    const [, caller] = others[attempt % others.length]!;
    const job = {
      id: `probe-${target.shard}-${startMs}-${attempt}`,
      customer: 'probe',
      kind: 'probe',
      urgency: 'urgent',
      isAttached: true,
      resources: {processors: 0.1, memoryMegabytes: 1},
      payload: {actualRunTimeMs: 20},
    };
    try {
      const body = {job, shard: target.shard};
      await caller.call('submit', body, PROBE_TIMEOUT_MS);
      return performance.now() - startMs;
    } catch {
      if (performance.now() - startMs > GIVE_UP_MS) return GIVE_UP_MS;
      await sleep(25);
    }
  }
}

async function interruptionsOf(
  bench: Bench,
  victim: string,
): Promise<number[]> {
  const record = await ownershipOf(bench);
  const shards = Object.keys(record).filter(
    (shard) => record[shard] === victim,
  );
  return Promise.all(
    shards.map((shard) => probe(bench, {shard, without: victim})),
  );
}

async function killAndRestart(bench: Bench, victim: string): Promise<number[]> {
  const child = bench.fleet.process('scheduler', victim);
  child.signal('SIGKILL');
  const interruptions = await interruptionsOf(bench, victim);
  bench.options.progress(`killed ${victim}: ${describe(interruptions)}`);
  await child.waitForExit();
  child.start();
  await sleep(4500);
  return interruptions;
}

async function pause(bench: Bench, victim: string): Promise<number[]> {
  const child = bench.fleet.process('scheduler', victim);
  child.signal('SIGSTOP');
  const resumed = sleep(PAUSE_MS).then(() => child.signal('SIGCONT'));
  const interruptions = await interruptionsOf(bench, victim);
  bench.options.progress(`paused ${victim}: ${describe(interruptions)}`);
  await resumed;
  await sleep(4500);
  return interruptions;
}

function describe(interruptions: readonly number[]): string {
  return interruptions.map((ms) => `${Math.round(ms)} ms`).join(', ');
}

async function summarize(
  bench: Bench,
  measured: {interruptions: number[]; unfinishedJobs: number},
): Promise<ScenarioResult> {
  const sorted = [...measured.interruptions].sort((a, b) => a - b);
  const control = await bench.fleet.workersControl();
  const counts = control['violations'] as Record<string, number>;
  return {
    violations: Object.values(counts).reduce((sum, count) => sum + count, 0),
    interruptionP50Ms: Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0),
    interruptionMaxMs: Math.round(sorted.at(-1) ?? 0),
    interruptions: sorted.length,
    resumedTwice: (counts['ranAgain'] ?? 0) + (counts['lostProgress'] ?? 0),
    lostJobs: bench.load.lost.size,
    acceptedJobs: bench.load.accepted.size,
    unfinishedJobs: measured.unfinishedJobs,
    details: control['details'],
  };
}
