import {build as buildHistogram} from 'hdr-histogram-js';

import {sleep} from '../../src/clock/sleep.js';
import {contractKey} from '../../src/contracts/configuration_key.js';
import {HttpPlatformService} from '../../src/platform/http_platform_service.js';
import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {ResultCodes} from '../../src/result_codes/result_code.js';
import {ResultError} from '../../src/result_codes/result_error.js';
import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';
import {BenchEntry, ConfigurationBench} from './configuration_bench.js';
import {runConfigurationProcesses} from './configuration_processes.js';

const DATA_CENTRES = ['a', 'b', 'c'];
const ENTRIES_PER_DATA_CENTRE = 3;
const CUSTOMERS = 20;
const SAMPLE_MS = 5;
const PROPAGATION_TIMEOUT_MS = 8000;
const MAX_PROPAGATION_MS = 4000;
const PLATFORM_FAULTS = {delayMs: 200, loseAnswers: 0.1};

/** Accepted change that is not yet in force on all reachable entries. */
interface PendingChange {
  key: string;
  revision: number;
  acceptedMs: number;
}

/** State and results of one run of the scenario. */
class ConfigurationRun {
  readonly histogram = buildHistogram();
  /** Number of accepted changes by customer. */
  readonly accepted = new Map<string, number>();
  /** Number of changes with an unknown outcome by customer. */
  readonly inDoubt = new Map<string, number>();
  readonly pendingChanges = new Set<PendingChange>();
  conflicts = 0;
  failures = 0;
  reverted = 0;
  late = 0;
  changes = 0;
  private readonly seenRevisions = new Map<string, number>();

  constructor(
    readonly bench: ConfigurationBench,
    readonly random: RandomSource,
  ) {}

  /** Returns the entries that can reach the platform or other data centres. */
  reachable(): BenchEntry[] {
    return this.bench.entries.filter(({dataCentre}) => {
      const partition = this.bench.partitions.get(dataCentre);
      return !(partition?.blocksPlatform && partition.blocksRemotePeers);
    });
  }

  /** Two operators read a contract and increment its share concurrently. */
  async amendConcurrently(): Promise<void> {
    const customer = `customer-${this.random.nextInteger(CUSTOMERS)}`;
    const writers = this.reachable().filter(
      ({dataCentre}) => !this.bench.partitions.get(dataCentre)?.blocksPlatform,
    );
    const pickWriter = (): BenchEntry =>
      writers[this.random.nextInteger(writers.length)]!;
    await Promise.all(
      [pickWriter(), pickWriter()].map((e) => this.amendContract(e, customer)),
    );
  }

  private async amendContract(
    entry: BenchEntry,
    customer: string,
  ): Promise<void> {
    const base = entry.store.entry(contractKey(customer));
    const contract = entry.store.contract(customer);
    if (!base || !contract) return;
    const change = {operator: entry.member, baseRevision: base.revision};
    const next = {...contract, share: contract.share + 1};
    try {
      const {revision} = await entry.changes.amendContract(next, change);
      const {key} = base;
      const acceptedMs = performance.now();
      this.pendingChanges.add({key, revision, acceptedMs});
      incrementCount(this.accepted, customer);
      this.changes += 1;
    } catch (error) {
      const code = error instanceof ResultError ? error.code : undefined;
      if (code === ResultCodes.REVISION_CONFLICT) this.conflicts += 1;
      else if (code === ResultCodes.CHANGE_IN_DOUBT) {
        incrementCount(this.inDoubt, customer);
      } else this.failures += 1;
    }
  }

  /** Samples all stores and completes the changes that are in force. */
  sample(): void {
    const nowMs = performance.now();
    for (const {member, store} of this.bench.entries) {
      for (let n = 0; n < CUSTOMERS; n++) {
        const key = contractKey(`customer-${n}`);
        const revision = store.entry(key)?.revision ?? 0;
        const id = `${member} ${key}`;
        if (revision < (this.seenRevisions.get(id) ?? 0)) this.reverted += 1;
        this.seenRevisions.set(id, revision);
      }
    }
    const reachable = this.reachable();
    for (const change of this.pendingChanges) {
      const ageMs = nowMs - change.acceptedMs;
      const isInForce = reachable.every(
        ({store}) =>
          (store.entry(change.key)?.revision ?? 0) >= change.revision,
      );
      if (!isInForce && ageMs < PROPAGATION_TIMEOUT_MS) continue;
      this.pendingChanges.delete(change);
      this.histogram.recordValue(Math.max(1, Math.round(ageMs)));
      if (ageMs > MAX_PROPAGATION_MS) this.late += 1;
    }
  }
}

function incrementCount(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/**
 * Measures how fast configuration changes come into force under faults. With
 * `--class processes` it uses entry processes.
 */
export async function runConfiguration(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  if (options.flags['class'] === 'processes') {
    return runConfigurationProcesses(options);
  }
  const standIn = new PlatformStandIn({seed: options.seed});
  const port = await standIn.listen('127.0.0.1', 0);
  const origin = `http://127.0.0.1:${port}`;
  const bench = new ConfigurationBench({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: ENTRIES_PER_DATA_CENTRE,
    createPlatform: () => new HttpPlatformService({origin}),
    seed: options.seed,
  });
  const run = new ConfigurationRun(bench, new SeededRandom(options.seed));
  const sampling = setInterval(() => run.sample(), SAMPLE_MS);
  try {
    await bench.start();
    await createContracts(bench);
    standIn.setFaults(PLATFORM_FAULTS);
    const before = standIn.counts.reads + standIn.counts.writes;
    const startMs = performance.now();
    const afterHealMs = await changeDuringPartitions(run, options);
    await waitUntil(
      () => run.pendingChanges.size === 0,
      PROPAGATION_TIMEOUT_MS,
    );
    const calls = standIn.counts.reads + standIn.counts.writes - before;
    const seconds = (performance.now() - startMs) / 1000;
    return summarize(run, {calls, seconds, afterHealMs});
  } finally {
    clearInterval(sampling);
    bench.stop();
    await standIn.stop();
  }
}

async function createContracts(bench: ConfigurationBench): Promise<void> {
  for (let n = 0; n < CUSTOMERS; n++) {
    const keyHash = n.toString(16).padStart(64, '0');
    const contract = {
      customer: `customer-${n}`,
      callers: [{name: 'portal', keyHash}],
    };
    await bench.entries[0]!.changes.createContract(contract, {operator: 'm'});
  }
  const last = bench.entries[0]!.store.revision;
  await waitUntil(
    () => bench.entries.every(({store}) => store.revision >= last),
    PROPAGATION_TIMEOUT_MS,
  );
}

/**
 * Runs changes in four phases: all data centres connected; "c" isolated; "c"
 * reconnected; "b" without the platform. Returns the time in ms that "c" took
 * to catch up.
 */
async function changeDuringPartitions(
  run: ConfigurationRun,
  options: ScenarioOptions,
): Promise<number> {
  const {bench} = run;
  const {seconds} = options;
  const phaseMs = (Math.min(seconds, 40) * 1000) / 4;
  options.progress(
    'all data centres connected; platform slow and losing responses',
  );
  await runChanges(run, phaseMs);
  bench.partitions.set('c', {blocksPlatform: true, blocksRemotePeers: true});
  options.progress('data centre c isolated');
  await runChanges(run, phaseMs);
  const reference = bench.entries.find(({dataCentre}) => dataCentre === 'a')!;
  const revision = reference.store.completeRevision;
  // Reconnects at a random time between two exchanges.
  await sleep(run.random.next() * 500);
  bench.partitions.delete('c');
  const healedMs = performance.now();
  options.progress('data centre c reconnected');
  const recovery = waitUntil(
    () => bench.entries.every(({store}) => store.completeRevision >= revision),
    PROPAGATION_TIMEOUT_MS,
  ).then(() => performance.now() - healedMs);
  await runChanges(run, phaseMs);
  bench.partitions.set('b', {blocksPlatform: true});
  options.progress('data centre b cannot reach the platform');
  await runChanges(run, phaseMs);
  return Math.round(await recovery);
}

async function runChanges(
  run: ConfigurationRun,
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const pending: Array<Promise<void>> = [];
  while (performance.now() < endMs) {
    pending.push(run.amendConcurrently());
    await sleep(100);
  }
  await Promise.all(pending);
}

async function waitUntil(
  condition: () => boolean,
  limitMs: number,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!condition() && performance.now() < endMs) await sleep(SAMPLE_MS);
}

function summarize(
  run: ConfigurationRun,
  measured: {calls: number; seconds: number; afterHealMs: number},
): ScenarioResult {
  let lostUpdates = 0;
  const [first] = run.bench.entries;
  for (let n = 0; n < CUSTOMERS; n++) {
    const customer = `customer-${n}`;
    const accepted = run.accepted.get(customer) ?? 0;
    const inDoubt = run.inDoubt.get(customer) ?? 0;
    const visible = (first!.store.contract(customer)?.share ?? 0) - 1;
    const isConsistent = visible >= accepted && visible <= accepted + inDoubt;
    if (!isConsistent) lostUpdates += 1;
  }
  const lateAfterHeal = measured.afterHealMs > MAX_PROPAGATION_MS ? 1 : 0;
  return {
    changes: run.changes,
    conflicts: run.conflicts,
    inDoubt: [...run.inDoubt.values()].reduce((sum, n) => sum + n, 0),
    failures: run.failures,
    inForceP50Ms: run.histogram.getValueAtPercentile(50),
    inForceP99Ms: run.histogram.getValueAtPercentile(99),
    inForceMaxMs: run.histogram.maxValue,
    afterHealMs: measured.afterHealMs,
    reverted: run.reverted,
    lostUpdates,
    platformCallsPerChange:
      Math.round((measured.calls / Math.max(1, run.changes)) * 100) / 100,
    platformCallsPerSecond: Math.round(measured.calls / measured.seconds),
    violations: run.reverted + lostUpdates + run.late + lateAfterHeal,
  };
}
