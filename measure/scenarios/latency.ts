import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../../src/clock/sleep.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {ManagedProcess} from '../../testing/managed_process.js';
import {freePorts} from '../../testing/free_ports.js';
import {DirectRoute} from '../direct_route.js';
import {
  entryOrigins,
  callerKey,
  SERVICE_PATH,
  startEntryFleet,
  targetOrigins,
  createCallerEntries,
} from '../entry_fleet.js';
import {LatencyClient, LatencyRoute} from '../latency_client.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

const TARGETS = 4;
const SLOTS = 8;
const WORK_MS = 40;

/** Half of the capacity of the targets. */
const REQUESTS_PER_SECOND = ((TARGETS * SLOTS) / WORK_MS) * 1000 * 0.5;

/**
 * Concurrent requests in the throughput measurement, enough to use all slots.
 */
const CONCURRENCY = TARGETS * SLOTS;

/**
 * Measurements alternate between routes, so that machine noise affects all
 * alike.
 */
const SLICES_PER_ROUTE = 6;

const WARM_UP_MS = 1000;

const CUSTOMER = 'kettridge';
const CALLER = 'crew';

/** Starts a relay without admission or routing in a separate process. */
async function startPassThroughRelay(
  origins: Array<[string, string]>,
): Promise<{child: ManagedProcess; route: LatencyRoute}> {
  const [port] = await freePorts(1);
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-measure-'));
  const child = new ManagedProcess({
    name: 'relay',
    script: 'build/measure/relay_process.js',
    arguments: [JSON.stringify({port, withDecisions: false, origins})],
    logFile: join(folder, 'relay.log'),
  });
  child.start();
  await sleep(1000);
  const origin = `http://127.0.0.1:${port}`;
  return {child, route: fixedRoute(origin, {path: '/work', headers: {}})};
}

function fixedRoute(
  origin: string,
  options: {path: string; headers: Record<string, string>},
): LatencyRoute {
  const {path, headers} = options;
  const release = (): void => undefined;
  return {path, acquire: () => ({origin, headers, release})};
}

/**
 * Measures latencies with open-loop load that alternates between the routes.
 */
async function compareLatency(
  routes: {
    direct: LatencyRoute;
    relayed: LatencyRoute;
    passThrough: LatencyRoute;
  },
  options: {seed: number; sliceMs: number},
): Promise<Record<string, unknown>> {
  const settings = {connections: SLOTS * TARGETS, workMs: WORK_MS};
  // Limits connections, because bursts of random arrivals must not exceed the
  // slots of a target.
  const limited = {...settings, connections: SLOTS};
  const direct = new LatencyClient(routes.direct, limited);
  const relayed = new LatencyClient(routes.relayed, settings);
  const passThrough = new LatencyClient(routes.passThrough, settings);
  const clients = [direct, relayed, passThrough];
  for (const client of clients) {
    await client.runClosedLoop({concurrency: 16, durationMs: WARM_UP_MS});
    client.histogram.reset();
  }
  for (let i = 0; i < SLICES_PER_ROUTE; i++) {
    for (const client of clients) {
      await client.runOpenLoop({
        random: new SeededRandom(options.seed * 100 + i),
        perSecond: REQUESTS_PER_SECOND,
        durationMs: options.sliceMs,
      });
    }
  }
  await Promise.all(clients.map((client) => client.stop()));
  const [directP50Ms, p50Ms, passThroughP50Ms] = clients.map((client) =>
    client.percentileMs(50),
  );
  const [directP99Ms, p99Ms, passThroughP99Ms] = clients.map((client) =>
    client.percentileMs(99),
  );
  return {
    requests: relayed.histogram.totalCount,
    failures: clients.reduce((sum, client) => sum + client.failures, 0),
    directP50Ms,
    directP99Ms,
    p50Ms,
    p99Ms,
    addedP50Ms: p50Ms! - directP50Ms!,
    addedP99Ms: p99Ms! - directP99Ms!,
    passThroughP50Ms,
    passThroughP99Ms,
  };
}

/**
 * Measures throughput with closed-loop load that alternates between the relays.
 */
async function compareThroughput(
  routes: {passThrough: LatencyRoute; relayed: LatencyRoute},
  sliceMs: number,
): Promise<Record<string, number>> {
  const settings = {connections: CONCURRENCY, workMs: 0};
  const passThrough = new LatencyClient(routes.passThrough, settings);
  const relayed = new LatencyClient(routes.relayed, settings);
  const slice = {concurrency: CONCURRENCY, durationMs: sliceMs};
  for (let i = 0; i < SLICES_PER_ROUTE; i++) {
    await passThrough.runClosedLoop(slice);
    await relayed.runClosedLoop(slice);
  }
  await Promise.all([passThrough.stop(), relayed.stop()]);
  const seconds = (SLICES_PER_ROUTE * sliceMs) / 1000;
  const requestsPerSecond = relayed.histogram.totalCount / seconds;
  const passThroughPerSecond = passThrough.histogram.totalCount / seconds;
  return {
    requestsPerSecond,
    passThroughPerSecond,
    throughputRatio: requestsPerSecond / passThroughPerSecond,
    throughputFailures: passThrough.failures + relayed.failures,
  };
}

/**
 * Measures the latency that banyanmux adds to a request at half of the
 * capacity, and its throughput compared with a relay without admission or
 * routing.
 */
export async function runLatency(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const callers = createCallerEntries(CUSTOMER, [CALLER]);
  const contracts = [{customer: CUSTOMER, services: ['portal'], callers}];
  const fleet = await startEntryFleet({
    entries: 1,
    targets: TARGETS,
    workMs: WORK_MS,
    contracts,
  });
  const targets = targetOrigins(fleet);
  const passThroughRelay = await startPassThroughRelay(targets);
  const relayed = fixedRoute(entryOrigins(fleet)[0]!, {
    path: SERVICE_PATH,
    headers: {
      authorization: `Bearer ${callerKey(CUSTOMER, CALLER)}`,
      'banyanmux-urgency': 'urgent',
    },
  });
  const totalMs = Math.min(38, Math.max(10, options.seconds)) * 1000;
  try {
    const direct = new DirectRoute(targets.map(([, origin]) => origin));
    await direct.readEpochs();
    const headers = direct.acquire().headers;
    const routes = {
      direct,
      relayed,
      passThrough: withHeaders(passThroughRelay.route, headers),
    };
    const latency = await compareLatency(routes, {
      seed: options.seed,
      sliceMs: (totalMs * 0.6) / (3 * SLICES_PER_ROUTE),
    });
    options.progress(JSON.stringify(latency));
    const sliceMs = (totalMs * 0.4) / (2 * SLICES_PER_ROUTE);
    const throughput = await compareThroughput(routes, sliceMs);
    return {violations: await fleet.violations(), ...latency, ...throughput};
  } finally {
    await Promise.all([passThroughRelay.child.kill(), fleet.stop()]);
  }
}

/**
 * Returns a route that sends `headers`. The relay forwards the epoch among
 * them, because targets refuse requests with a lower one.
 */
function withHeaders(
  route: LatencyRoute,
  headers: Record<string, string>,
): LatencyRoute {
  return {...route, acquire: () => ({...route.acquire(), headers})};
}
