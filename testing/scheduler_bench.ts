import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../src/clock/sleep.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {Fleet} from './fleet.js';
import {JobLoadGenerator} from './job_load_generator.js';
import {SchedulerCaller} from './scheduler_caller.js';

const DATA_CENTRE = 'd';
const MEMBER_COUNT = 3;
const RACK_COUNT = 3;
const PROBE_TIMEOUT_MS = 700;
const MAX_PROBE_MS = 12_000;

/** Options of {@link startSchedulerBench}. */
export interface SchedulerBenchOptions {
  /** Seed of the load and of the fleet. */
  seed: number;
  /** Interval in ms between two job submissions. */
  intervalMs: number;
  /** Receives progress messages. */
  progress(text: string): void;
}

/** Three schedulers, three racks of workers and a job load generator. */
export interface SchedulerBench {
  /** Processes of the bench. */
  fleet: Fleet;
  /** Callers by the member whose scheduler they are connected to. */
  callers: Map<string, SchedulerCaller>;
  /** Submits jobs to all schedulers. */
  load: JobLoadGenerator;
  /** Options with which the bench was started. */
  options: SchedulerBenchOptions;
}

/** Starts the processes and waits until each scheduler owns a usable shard. */
export async function startSchedulerBench(
  options: SchedulerBenchOptions,
): Promise<SchedulerBench> {
  const fleet = await Fleet.start({
    dataCentres: [
      {
        name: DATA_CENTRE,
        entryVms: MEMBER_COUNT,
        targets: 0,
        racks: RACK_COUNT,
        workersPerRack: 3,
      },
    ],
    workerCapacity: {processors: 8, memoryMegabytes: 8000, accelerators: 0},
    clockRates: [0.98, 1, 1.02],
    seed: options.seed,
    folder: mkdtempSync(join(tmpdir(), 'schedulers-')),
  });
  const callers = new Map(
    fleet.members.map(({member, schedulerLinkPort: port}) => [
      member,
      new SchedulerCaller({port, dataCentre: DATA_CENTRE}),
    ]),
  );
  const load = new JobLoadGenerator({
    callers: [...callers.values()],
    random: new SeededRandom(options.seed),
    intervalMs: options.intervalMs,
  });
  const bench = {fleet, callers, load, options};
  await waitUntilShardsOwned(bench);
  return bench;
}

/** Waits until each member owns a shard and each shard has run a probe task. */
async function waitUntilShardsOwned(bench: SchedulerBench): Promise<void> {
  const deadlineMs = performance.now() + 15_000;
  for (;;) {
    const shardOwners = await fetchShardOwners(bench);
    const owners = new Set(Object.values(shardOwners));
    if (owners.size === MEMBER_COUNT) break;
    if (performance.now() > deadlineMs) {
      throw new Error(
        `Cannot start: after 15 s the only shard owners are ${[...owners].join(', ')}`,
      );
    }
    await sleep(100);
  }
  const shards = Object.keys(await fetchShardOwners(bench));
  await Promise.all(shards.map((shard) => probeShard(bench, {shard})));
  bench.options.progress('each scheduler owns a shard and runs tasks');
}

/** Reads the owner of each shard from the ownership record on the platform. */
export async function fetchShardOwners(
  bench: SchedulerBench,
): Promise<Record<string, string>> {
  const key = encodeURIComponent(`ownership/${DATA_CENTRE}/scheduler`);
  const port = bench.fleet.platformPort;
  const response = await fetch(`http://127.0.0.1:${port}/kv/${key}`);
  if (response.status !== 200) return {};
  const {value} = (await response.json()) as {value: string};
  const {shards} = JSON.parse(value) as {
    shards: Record<string, {member: string}>;
  };
  return Object.fromEntries(
    Object.entries(shards).map(([shard, {member}]) => [shard, member]),
  );
}

/**
 * Runs a short attached task on a shard, with retries. Returns the time in ms
 * until it ended, or `MAX_PROBE_MS` if no attempt succeeded within that time.
 */
export async function probeShard(
  bench: SchedulerBench,
  target: {
    shard: string;
    /** Member whose scheduler is not called. @default none */
    excludedMember?: string;
  },
): Promise<number> {
  const startMs = performance.now();
  const candidates = [...bench.callers].filter(
    ([member]) => member !== target.excludedMember,
  );
  for (let attempt = 0; ; attempt++) {
    const [, caller] = candidates[attempt % candidates.length]!;
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
      if (performance.now() - startMs > MAX_PROBE_MS) return MAX_PROBE_MS;
      await sleep(25);
    }
  }
}

/** Stops all processes of the bench. */
export async function stopSchedulerBench(bench: SchedulerBench): Promise<void> {
  for (const caller of bench.callers.values()) caller.stop();
  await bench.fleet.stop();
}
