import {ChildProcess, fork} from 'node:child_process';
import {
  copyFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../../src/clock/sleep.js';
import {freePorts} from '../../testing/free_ports.js';
import {ManagedProcess} from '../../testing/managed_process.js';
import {
  costByPart,
  ProfilePart,
  ProfileWindow,
  readProfile,
} from '../owner_process/cost_profile.js';
import {PlatformCounts} from '../../testing/owner_platform_process.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

/** Default number of workers. */
const WORKERS = 300;

/** Time in ms after the first submission in which the load builds up. */
const WARM_UP_MS = 7000;

/** Time in ms for the node to start and take ownership. */
const START_MS = 3000;

/** Sampling interval of the profile in µs. */
const SAMPLING_INTERVAL = 500;

/** Unit of processor time in /proc. */
const CLOCK_TICKS_PER_SECOND = 100;

const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Parts of the owner's work; the first that matches a call frame counts. */
const PARTS: readonly ProfilePart[] = [
  {name: 'garbage collection', frame: /^\(garbage collector\)/},
  {name: 'event loop and system calls', frame: /^\((program|root)\)/},
  {name: 'logging', frame: /src\/logging\/|node_modules\/(pino|sonic-boom)/},
  {name: 'placement', frame: /^(schedule|runPass) .*orchestrator\.js/},
  {name: 'reports', frame: /^processReport .*orchestrator\.js/},
  {name: 'tick', frame: /^tick .*orchestrator(_runtime)?\.js/},
  {name: 'commit', frame: /pending_changes|commit_l|job_records|kv_store/},
  {name: 'mirror', frame: /prefix_mirror|job_table|addJob .*orchestrator/},
  {name: 'worker messages', frame: /worker_client|node_modules\/zod/},
  {name: 'polls', frame: /worker_session/},
  {name: 'commands', frame: /command_sender|^handleStartOutcome /},
  {
    name: 'HTTP',
    frame:
      /undici|http_client|http_connection|response_|node:(net|_http|http|internal\/stream|stream)/,
  },
  {name: 'timers', frame: /node:(internal\/)?timers/},
];

/**
 * Measures where the processor time of an owner goes: the real node program
 * with store, workers and callers in another process, under a CPU profile.
 *
 * `--workers N` sets the number of workers; the load grows with it. With
 * `--profile FILE`, the CPU profile is kept there.
 */
export async function runOwnerProcess(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-owner-'));
  const workers = Number(options.flags['workers'] ?? WORKERS);
  const [storePort] = await freePorts(1);
  const platform = startPlatform({storePort, workers, seed: options.seed});
  const owner = await createOwner(folder, storePort!);
  try {
    owner.start();
    await sleep(START_MS);
    platform.child.send('start');
    await sleep(WARM_UP_MS);
    options.progress('load has built up');
    const before = {...platform.counts()};
    const cpuBefore = cpuSeconds(owner.pid!);
    const fromMicroseconds = monotonicMicroseconds();
    await sleep(options.seconds * MS_PER_SECOND);
    const window = {fromMicroseconds, toMicroseconds: monotonicMicroseconds()};
    const after = {...platform.counts()};
    const cpuTime = cpuSeconds(owner.pid!) - cpuBefore;
    await owner.terminate();
    const file = findProfile(folder);
    const copy = options.flags['profile'];
    if (copy !== undefined) copyFileSync(file, copy);
    return summarize({file, window, before, after, cpuTime});
  } finally {
    await owner.kill();
    platform.child.kill('SIGKILL');
    rmSync(folder, {recursive: true});
  }
}

function startPlatform(argument: object): {
  child: ChildProcess;
  counts: () => PlatformCounts;
} {
  const child = fork('build/testing/owner_platform_process.js', [
    JSON.stringify(argument),
  ]);
  let latest: PlatformCounts | undefined;
  child.on('message', (counts: PlatformCounts) => (latest = counts));
  const counts = (): PlatformCounts => {
    if (latest) return latest;
    throw new Error('Cannot measure the owner: the platform has not started');
  };
  return {child, counts};
}

async function createOwner(
  folder: string,
  storePort: number,
): Promise<ManagedProcess> {
  const ports = (await freePorts(4)).map((port) => `127.0.0.1:${port}`);
  const [callers, links, readiness, metrics] = ports;
  const settingsFile = join(folder, 'node.jsonc');
  const settings = {
    node: 'owner',
    dataCentre: 'levis',
    region: 'quebec-capitale',
    callers,
    links,
    readiness,
    metrics,
    store: {address: `127.0.0.1:${storePort}`},
    workers: {longestLeaseMs: 6000},
    jobs: {keepFinishedSeconds: 120},
    stop: {gracePeriodSeconds: 0.5},
  };
  writeFileSync(settingsFile, JSON.stringify(settings));
  return new ManagedProcess({
    name: 'owner',
    script: 'build/src/node/banyanmux_node.js',
    arguments: ['--settings', settingsFile],
    nodeArguments: [
      // As on the VMs, since the heap limit decides how often V8 collects.
      '--max-old-space-size=200',
      '--cpu-prof',
      `--cpu-prof-dir=${folder}`,
      `--cpu-prof-interval=${SAMPLING_INTERVAL}`,
    ],
    logFile: join(folder, 'owner.log'),
  });
}

function findProfile(folder: string): string {
  const name = readdirSync(folder).find((file) => file.endsWith('.cpuprofile'));
  if (!name) throw new Error('Cannot measure the owner: it wrote no profile');
  return join(folder, name);
}

function summarize(run: {
  /** CPU profile of the owner. */
  file: string;
  window: ProfileWindow;
  before: PlatformCounts;
  after: PlatformCounts;
  /** Processor time in s that the owner used. */
  cpuTime: number;
}): ScenarioResult {
  const {file, window, before, after, cpuTime} = run;
  const costs = costByPart(readProfile(file), PARTS, window);
  const elapsed = window.toMicroseconds - window.fromMicroseconds;
  const seconds = elapsed / MICROSECONDS_PER_SECOND;
  const busy = Object.values(costs).reduce((sum, cost) => sum + cost, 0);
  const starts = after.starts - before.starts;
  // Samples are weighted by elapsed time, which on a busy machine contains time
  // in which the process waits for a processor.
  const cpuMicroseconds = cpuTime * MICROSECONDS_PER_SECOND;
  const microsecondsPerStart = cpuMicroseconds / starts;
  const perSecond = Object.fromEntries(
    Object.keys(after).map((name) => {
      const key = name as keyof PlatformCounts;
      return [name, Math.round((after[key] - before[key]) / seconds)];
    }),
  );
  const parts = Object.entries(costs).sort(([, a], [, b]) => b - a);
  return {
    violations: 0,
    cores: Math.round((cpuTime / seconds) * 1000) / 1000,
    perSecond,
    microsecondsPerStart: Math.round(microsecondsPerStart),
    parts: Object.fromEntries(
      parts.map(([name, cost]) => [
        name,
        Math.round((cost / busy) * microsecondsPerStart),
      ]),
    ),
  };
}

/** Returns the processor time in s that a process has used so far. */
function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The name of the program, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

function monotonicMicroseconds(): number {
  return Number(process.hrtime.bigint() / 1000n);
}
