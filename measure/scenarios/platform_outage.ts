import {sleep} from '../../src/clock/sleep.js';
import {
  fetchShardOwners,
  probeShard,
  SchedulerBench,
  startSchedulerBench,
  stopSchedulerBench,
} from '../../testing/scheduler_bench.js';
import {PlatformCounts} from '../../testing/platform_stand_in.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

const MAX_OUTAGE_MS = 20_000;
const ANSWER_LOSS_MS = 6000;
const ANSWER_LOSS_FRACTION = 0.2;

interface OutageMeasurements {
  placedDuringOutage: number;
  /** Times in ms from submission to the end of short urgent tasks. */
  urgentMs: number[];
  callsPerSecondAfter: {reads: number; writes: number};
  unfinished: string[];
}

/**
 * Stops the platform under load and restores it; at first some of its responses
 * are lost after the write took effect. More jobs are accepted before the
 * outage than the workers can run, so that waiting jobs are placed during the
 * outage.
 */
export async function runPlatformOutage(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const bench = await startSchedulerBench({...options, intervalMs: 12});
  try {
    const running = bench.load.run();
    await sleep(3000);
    bench.load.setSubmissionInterval(300);
    const outageMs = Math.min(MAX_OUTAGE_MS, options.seconds * 500);
    const outage = await runOutage(bench, outageMs);
    const callsPerSecondAfter = await runRecovery(bench);
    await bench.load.stop();
    await running;
    const unfinished = await bench.load.waitUntilEnded(15_000);
    return await summarize(bench, {...outage, callsPerSecondAfter, unfinished});
  } finally {
    await stopSchedulerBench(bench);
  }
}

async function runOutage(
  bench: SchedulerBench,
  outageMs: number,
): Promise<Pick<OutageMeasurements, 'placedDuringOutage' | 'urgentMs'>> {
  const shards = Object.keys(await fetchShardOwners(bench));
  await bench.fleet.setPlatformFaults({down: true});
  bench.options.progress(`platform unavailable for ${outageMs} ms`);
  // Excludes responses that were in flight when the platform stopped.
  await sleep(200);
  const before = await readStartCount(bench);
  const endMs = performance.now() + outageMs;
  const urgentMs: number[] = [];
  const probes: Array<Promise<unknown>> = [];
  for (let count = 0; performance.now() < endMs; count++) {
    const shard = shards[count % shards.length]!;
    const probe = probeShard(bench, {shard});
    probes.push(probe.then((ms) => urgentMs.push(ms)));
    await sleep(100);
  }
  await Promise.all(probes);
  const placed = (await readStartCount(bench)) - before - probes.length;
  await bench.fleet.setPlatformFaults({loseAnswers: ANSWER_LOSS_FRACTION});
  return {placedDuringOutage: placed, urgentMs};
}

/**
 * Returns the peak calls per second while responses are lost and afterwards.
 */
async function runRecovery(
  bench: SchedulerBench,
): Promise<OutageMeasurements['callsPerSecondAfter']> {
  const peak = {reads: 0, writes: 0};
  let last = await readPlatformCounts(bench);
  for (let elapsedMs = 0; elapsedMs < ANSWER_LOSS_MS + 2000;) {
    await sleep(1000);
    elapsedMs += 1000;
    if (elapsedMs === ANSWER_LOSS_MS) await bench.fleet.setPlatformFaults({});
    const next = await readPlatformCounts(bench);
    peak.reads = Math.max(peak.reads, next.reads - last.reads);
    peak.writes = Math.max(peak.writes, next.writes - last.writes);
    last = next;
  }
  return peak;
}

async function readStartCount(bench: SchedulerBench): Promise<number> {
  return (await bench.fleet.workersControl())['starts'] as number;
}

async function readPlatformCounts(
  bench: SchedulerBench,
): Promise<PlatformCounts> {
  return (await bench.fleet.platformControl())['counts'] as PlatformCounts;
}

async function summarize(
  bench: SchedulerBench,
  measured: OutageMeasurements,
): Promise<ScenarioResult> {
  const control = await bench.fleet.workersControl();
  const counts = control['violations'] as Record<string, number>;
  const sorted = [...measured.urgentMs].sort((a, b) => a - b);
  return {
    violations: Object.values(counts).reduce((sum, count) => sum + count, 0),
    placedDuringOutage: measured.placedDuringOutage,
    urgentStarts: sorted.length,
    urgentStartP99Ms: Math.round(sorted[Math.floor(sorted.length * 0.99)] ?? 0),
    callsPerSecondAfter: measured.callsPerSecondAfter,
    lostJobs: bench.load.lost.size,
    acceptedJobs: bench.load.accepted.size,
    unfinishedJobs: measured.unfinished.length,
    details: control['details'],
  };
}
