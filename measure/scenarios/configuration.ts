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

const DATA_CENTRES = ['a', 'b', 'c'];
const ENTRIES_PER_DATA_CENTRE = 3;
const CUSTOMERS = 20;
const SAMPLE_MS = 5;
const GIVE_UP_MS = 8000;
const LIMIT_MS = 4000;
const FAULTS = {delayMs: 200, loseAnswers: 0.1};

/** An accepted change that is not yet in effect everywhere. */
interface OpenChange {
  key: string;
  revision: number;
  acceptedMs: number;
}

class Run {
  readonly histogram = buildHistogram();
  readonly accepted = new Map<string, number>();
  readonly inDoubt = new Map<string, number>();
  readonly open = new Set<OpenChange>();
  conflicts = 0;
  failures = 0;
  reverted = 0;
  late = 0;
  changes = 0;
  private readonly seen = new Map<string, number>();

  constructor(
    readonly bench: ConfigurationBench,
    readonly random: RandomSource,
  ) {}

  /** Entries that are neither cut off from the platform nor from others. */
  reachable(): BenchEntry[] {
    return this.bench.entries.filter(({dataCentre}) => {
      const cut = this.bench.cuts.get(dataCentre);
      return !(cut?.platform && cut.others);
    });
  }

  /** Two operators read a contract and raise its share by one. */
  async race(): Promise<void> {
    const customer = `customer-${this.random.nextInteger(CUSTOMERS)}`;
    const writers = this.reachable().filter(
      ({dataCentre}) => !this.bench.cuts.get(dataCentre)?.platform,
    );
    const pick = (): BenchEntry =>
      writers[this.random.nextInteger(writers.length)]!;
    await Promise.all([pick(), pick()].map((e) => this.amend(e, customer)));
  }

  private async amend(entry: BenchEntry, customer: string): Promise<void> {
    const base = entry.store.entry(contractKey(customer));
    const contract = entry.store.contract(customer);
    if (!base || !contract) return;
    const change = {operator: entry.member, baseRevision: base.revision};
    const next = {...contract, share: contract.share + 1};
    try {
      const {revision} = await entry.changes.amendContract(next, change);
      const {key} = base;
      const acceptedMs = performance.now();
      this.open.add({key, revision, acceptedMs});
      increase(this.accepted, customer);
      this.changes += 1;
    } catch (error) {
      const code = error instanceof ResultError ? error.code : undefined;
      if (code === ResultCodes.REVISION_CONFLICT) this.conflicts += 1;
      else if (code === ResultCodes.CHANGE_IN_DOUBT) {
        increase(this.inDoubt, customer);
      } else this.failures += 1;
    }
  }

  /** Looks at all stores once. */
  sample(): void {
    const nowMs = performance.now();
    for (const {member, store} of this.bench.entries) {
      for (let n = 0; n < CUSTOMERS; n++) {
        const key = contractKey(`customer-${n}`);
        const revision = store.entry(key)?.revision ?? 0;
        const id = `${member} ${key}`;
        if (revision < (this.seen.get(id) ?? 0)) this.reverted += 1;
        this.seen.set(id, revision);
      }
    }
    const reachable = this.reachable();
    for (const change of this.open) {
      const ageMs = nowMs - change.acceptedMs;
      const isInForce = reachable.every(
        ({store}) =>
          (store.entry(change.key)?.revision ?? 0) >= change.revision,
      );
      if (!isInForce && ageMs < GIVE_UP_MS) continue;
      this.open.delete(change);
      this.histogram.recordValue(Math.max(1, Math.round(ageMs)));
      if (ageMs > LIMIT_MS) this.late += 1;
    }
  }
}

function increase(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Measures how fast configuration changes take effect under faults. */
export async function runConfiguration(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const standIn = new PlatformStandIn({seed: options.seed});
  const port = await standIn.listen('127.0.0.1', 0);
  const origin = `http://127.0.0.1:${port}`;
  const bench = new ConfigurationBench({
    dataCentres: DATA_CENTRES,
    entriesPerDataCentre: ENTRIES_PER_DATA_CENTRE,
    createPlatform: () => new HttpPlatformService({origin}),
    seed: options.seed,
  });
  const run = new Run(bench, new SeededRandom(options.seed));
  const sampling = setInterval(() => run.sample(), SAMPLE_MS);
  try {
    await bench.start();
    await createContracts(bench);
    standIn.setFaults(FAULTS);
    const before = standIn.counts.reads + standIn.counts.writes;
    const startMs = performance.now();
    const afterHealMs = await changeUnderCuts(run, options);
    await until(() => run.open.size === 0, GIVE_UP_MS);
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
  await until(
    () => bench.entries.every(({store}) => store.revision >= last),
    GIVE_UP_MS,
  );
}

/** Phases: all connected; "c" cut off; healed; "b" without the platform. */
async function changeUnderCuts(
  run: Run,
  options: ScenarioOptions,
): Promise<number> {
  const {bench} = run;
  const {seconds} = options;
  const phaseMs = (Math.min(seconds, 40) * 1000) / 4;
  options.progress('all connected, platform slow and with lost answers');
  await changeFor(run, phaseMs);
  bench.cuts.set('c', {platform: true, others: true});
  options.progress('data centre c cut off');
  await changeFor(run, phaseMs);
  const latest = bench.entries.find(({dataCentre}) => dataCentre === 'a')!;
  const revision = latest.store.completeRevision;
  // Heals at a random time between two exchanges.
  await sleep(run.random.next() * 500);
  bench.cuts.delete('c');
  const healedMs = performance.now();
  options.progress('data centre c healed');
  const healing = until(
    () => bench.entries.every(({store}) => store.completeRevision >= revision),
    GIVE_UP_MS,
  ).then(() => performance.now() - healedMs);
  await changeFor(run, phaseMs);
  bench.cuts.set('b', {platform: true});
  options.progress('data centre b without the platform');
  await changeFor(run, phaseMs);
  return Math.round(await healing);
}

async function changeFor(run: Run, durationMs: number): Promise<void> {
  const endMs = performance.now() + durationMs;
  const pending: Array<Promise<void>> = [];
  while (performance.now() < endMs) {
    pending.push(run.race());
    await sleep(100);
  }
  await Promise.all(pending);
}

async function until(condition: () => boolean, limitMs: number): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!condition() && performance.now() < endMs) await sleep(SAMPLE_MS);
}

function summarize(
  run: Run,
  costs: {calls: number; seconds: number; afterHealMs: number},
): ScenarioResult {
  let lostUpdates = 0;
  const [first] = run.bench.entries;
  for (let n = 0; n < CUSTOMERS; n++) {
    const customer = `customer-${n}`;
    const accepted = run.accepted.get(customer) ?? 0;
    const doubtful = run.inDoubt.get(customer) ?? 0;
    const shown = (first!.store.contract(customer)?.share ?? 0) - 1;
    const isExplained = shown >= accepted && shown <= accepted + doubtful;
    if (!isExplained) lostUpdates += 1;
  }
  const afterHealIsLate = costs.afterHealMs > LIMIT_MS ? 1 : 0;
  return {
    changes: run.changes,
    conflicts: run.conflicts,
    inDoubt: [...run.inDoubt.values()].reduce((sum, n) => sum + n, 0),
    failures: run.failures,
    inForceP50Ms: run.histogram.getValueAtPercentile(50),
    inForceP99Ms: run.histogram.getValueAtPercentile(99),
    inForceMaxMs: run.histogram.maxValue,
    afterHealMs: costs.afterHealMs,
    reverted: run.reverted,
    lostUpdates,
    platformCallsPerChange:
      Math.round((costs.calls / Math.max(1, run.changes)) * 100) / 100,
    platformCallsPerSecond: Math.round(costs.calls / costs.seconds),
    violations: run.reverted + lostUpdates + run.late + afterHealIsLate,
  };
}
