import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {build as buildHistogram} from 'hdr-histogram-js';
import {request} from 'undici';

import {sleep} from '../../src/clock/sleep.js';
import {Contract} from '../../src/contracts/contract.js';
import {Fleet, OPERATOR_TOKEN} from '../../testing/fleet.js';
import {hashKey} from '../../testing/operator_api.js';
import {ScenarioOptions, ScenarioResult} from '../scenario.js';

const DATA_CENTRES = ['a', 'b', 'c'];
const LIMIT_MS = 4000;
const GIVE_UP_MS = 8000;
const POLL_MS = 20;
const CUSTOMER = 'acme';
const PATH = `/v1/contracts/${CUSTOMER}`;

interface Answer {
  status: number;
  revision: number;
  contract: Contract;
}

class ProcessRun {
  readonly histogram = buildHistogram();
  changes = 0;
  refused = 0;
  late = 0;
  reverted = 0;
  private readonly seen = new Map<string, number>();

  constructor(readonly fleet: Fleet) {}

  /** Names of the entries outside the data centre that is cut off. */
  members(cut?: string): string[] {
    return this.fleet.members
      .filter(({dataCentre}) => dataCentre !== cut)
      .map(({member}) => member);
  }

  async call(
    member: string,
    given: {headers?: Record<string, string>; body?: unknown} = {},
  ): Promise<Answer> {
    const isRead = given.body === undefined;
    const path = isRead ? `${PATH}?source=memory` : PATH;
    const answer = await request(this.fleet.entryOrigin(member) + path, {
      method: isRead ? 'GET' : 'PUT',
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, ...given.headers},
      body: isRead ? null : JSON.stringify(given.body),
    });
    const body = (await answer.body.json()) as Omit<Answer, 'status'>;
    return {...body, status: answer.statusCode};
  }

  /** Amends at one entry and waits until all `members` show it. */
  async change(writer: string, members: string[]): Promise<void> {
    const {contract, revision} = await this.call(writer);
    const answer = await this.call(writer, {
      headers: {'if-match': String(revision)},
      body: {...contract, share: contract.share + 1},
    });
    if (answer.status !== 200) {
      this.refused += 1;
      return;
    }
    this.changes += 1;
    const tookMs = await this.untilShown(members, answer.revision);
    this.histogram.recordValue(Math.max(1, Math.round(tookMs)));
    if (tookMs > LIMIT_MS) this.late += 1;
  }

  /** Waits until all members show the revision; returns the time in ms. */
  async untilShown(members: string[], revision: number): Promise<number> {
    const startMs = performance.now();
    let waiting = [...members];
    while (waiting.length > 0 && performance.now() - startMs < GIVE_UP_MS) {
      const shown = await Promise.all(
        waiting.map((member) => this.shownAt(member)),
      );
      waiting = waiting.filter((_, index) => shown[index]! < revision);
      if (waiting.length > 0) await sleep(POLL_MS);
    }
    return performance.now() - startMs;
  }

  private async shownAt(member: string): Promise<number> {
    const {revision = 0} = await this.call(member);
    if (revision < (this.seen.get(member) ?? 0)) this.reverted += 1;
    this.seen.set(member, revision);
    return revision;
  }
}

/** The scenario `configuration` with real entries, links and HTTP. */
export async function runConfigurationProcesses(
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-'));
  const tokenHash = hashKey(OPERATOR_TOKEN);
  const operators = [{name: 'measure', role: 'change', tokenHash}];
  const fleet = await Fleet.start({
    dataCentres: DATA_CENTRES.map((name) => ({
      name,
      entryVms: 3,
      targets: 1,
      racks: 0,
      workersPerRack: 0,
    })),
    folder,
    seed: options.seed,
    withSchedulers: false,
    withFaultyLinks: true,
    entrySettings: {entry: {operators}},
  });
  try {
    await fleet.waitUntilReady();
    return await measure(new ProcessRun(fleet), options);
  } finally {
    await fleet.stop();
    rmSync(folder, {recursive: true});
  }
}

async function measure(
  run: ProcessRun,
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const {fleet} = run;
  const {seconds} = options;
  const all = run.members();
  const callers = [{name: 'portal', keyHash: 'a'.repeat(64)}];
  const created = await run.call(all[0]!, {
    headers: {'if-none-match': '*'},
    body: {customer: CUSTOMER, callers},
  });
  await run.untilShown(all, created.revision);
  await fleet.setPlatformFaults({delayMs: 200, loseAnswers: 0.1});
  const phaseMs = (Math.min(seconds, 36) * 1000) / 3;
  options.progress('all connected');
  await changeFor(run, {durationMs: phaseMs});
  options.progress('data centre c cut off');
  setCut(run, true);
  await changeFor(run, {durationMs: phaseMs, cut: 'c'});
  const latest = await run.call(all[0]!);
  setCut(run, false);
  options.progress('data centre c healed');
  const afterHealMs = Math.round(await run.untilShown(all, latest.revision));
  await changeFor(run, {durationMs: phaseMs});
  const {contract} = await run.call(all[0]!);
  const lostUpdates = Math.max(0, run.changes + 1 - contract.share);
  const isHealLate = afterHealMs > LIMIT_MS ? 1 : 0;
  return {
    changes: run.changes,
    refused: run.refused,
    inForceP50Ms: run.histogram.getValueAtPercentile(50),
    inForceP99Ms: run.histogram.getValueAtPercentile(99),
    inForceMaxMs: run.histogram.maxValue,
    afterHealMs,
    reverted: run.reverted,
    lostUpdates,
    violations: run.reverted + lostUpdates + run.late + isHealLate,
  };
}

async function changeFor(
  run: ProcessRun,
  phase: {durationMs: number; cut?: string},
): Promise<void> {
  const endMs = performance.now() + phase.durationMs;
  const members = run.members(phase.cut);
  for (let n = 0; performance.now() < endMs; n++) {
    await run.change(members[n % members.length]!, members);
  }
}

/** Cuts all links between data centre c and the rest, both ways. */
function setCut({fleet}: ProcessRun, isCut: boolean): void {
  const isInside = (dataCentre: string): boolean => dataCentre === 'c';
  for (const from of fleet.members) {
    const faults = {cut: isCut};
    if (isInside(from.dataCentre)) {
      fleet.mesh.setFaults({from: from.member, to: 'platform'}, faults);
    }
    for (const to of fleet.members) {
      if (isInside(from.dataCentre) === isInside(to.dataCentre)) continue;
      fleet.mesh.setFaults({from: from.member, to: to.member}, faults);
    }
  }
}
