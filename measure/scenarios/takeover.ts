import {sleep} from '../../src/clock/sleep.js';
import {
  fetchShardOwners,
  probeShard,
  SchedulerBench,
  startSchedulerBench,
  stopSchedulerBench,
} from '../../testing/scheduler_bench.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

const PAUSE_DURATION_MS = 4000;

/**
 * Measures interruptions of shards when their owners are killed or paused under
 * load. An interruption lasts from the failure to the end of the first short
 * attached task that is accepted, placed and run on the shard afterwards.
 */
export async function runTakeover(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const bench = await startSchedulerBench({...options, intervalMs: 60});
  try {
    const running = bench.load.run();
    await sleep(1500);
    const interruptions: number[] = [];
    const members = [...bench.callers.keys()];
    interruptions.push(...(await killAndRestart(bench, members[0]!)));
    interruptions.push(...(await pauseAndResume(bench, members[1]!)));
    interruptions.push(...(await killAndRestart(bench, members[2]!)));
    await bench.load.stop();
    await running;
    const unfinished = await bench.load.waitUntilEnded(9000);
    return await summarize(bench, {interruptions, unfinished});
  } finally {
    await stopSchedulerBench(bench);
  }
}

async function measureInterruptions(
  bench: SchedulerBench,
  victim: string,
): Promise<number[]> {
  const record = await fetchShardOwners(bench);
  const shards = Object.keys(record).filter(
    (shard) => record[shard] === victim,
  );
  return Promise.all(
    shards.map((shard) => probeShard(bench, {shard, excludedMember: victim})),
  );
}

async function killAndRestart(
  bench: SchedulerBench,
  victim: string,
): Promise<number[]> {
  const child = bench.fleet.process('scheduler', victim);
  child.signal('SIGKILL');
  const interruptions = await measureInterruptions(bench, victim);
  bench.options.progress(`killed ${victim}: ${formatDurations(interruptions)}`);
  await child.waitForExit();
  child.start();
  await sleep(4500);
  return interruptions;
}

async function pauseAndResume(
  bench: SchedulerBench,
  victim: string,
): Promise<number[]> {
  const child = bench.fleet.process('scheduler', victim);
  child.signal('SIGSTOP');
  const resumption = sleep(PAUSE_DURATION_MS).then(() =>
    child.signal('SIGCONT'),
  );
  const interruptions = await measureInterruptions(bench, victim);
  bench.options.progress(`paused ${victim}: ${formatDurations(interruptions)}`);
  await resumption;
  await sleep(4500);
  return interruptions;
}

function formatDurations(interruptions: readonly number[]): string {
  return interruptions.map((ms) => `${Math.round(ms)} ms`).join(', ');
}

/** Returns the status of each job, or the error message, for diagnosis. */
function readJobStates(
  bench: SchedulerBench,
  jobIds: readonly string[],
): Promise<unknown[]> {
  return Promise.all(
    jobIds.map((jobId) =>
      bench.load
        .call('jobStatus', {jobId})
        .catch((error: Error) => `${jobId}: ${error.message}`),
    ),
  );
}

async function summarize(
  bench: SchedulerBench,
  measured: {interruptions: number[]; unfinished: string[]},
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
    unfinishedJobs: measured.unfinished.length,
    firstUnfinished: await readJobStates(
      bench,
      measured.unfinished.slice(0, 3),
    ),
    details: control['details'],
  };
}
