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
const MAX_PROPAGATION_MS = 4000;
const PROPAGATION_TIMEOUT_MS = 8000;
const POLL_INTERVAL_MS = 20;
const CUSTOMER = 'acme';
const CONTRACT_PATH = `/v1/contracts/${CUSTOMER}`;

interface ContractResponse {
  status: number;
  revision: number;
  contract: Contract;
}

/** State and results of one run with entry processes. */
class ProcessRun {
  readonly histogram = buildHistogram();
  changes = 0;
  refused = 0;
  late = 0;
  reverted = 0;
  private readonly seenRevisions = new Map<string, number>();

  constructor(readonly fleet: Fleet) {}

  /** Returns the names of the entries outside the isolated data centre. */
  membersOutside(partitioned?: string): string[] {
    return this.fleet.members
      .filter(({dataCentre}) => dataCentre !== partitioned)
      .map(({member}) => member);
  }

  /** Reads the contract that is in force on an entry, or writes `body`. */
  async call(
    member: string,
    message: {headers?: Record<string, string>; body?: unknown} = {},
  ): Promise<ContractResponse> {
    const isRead = message.body === undefined;
    const path = isRead ? `${CONTRACT_PATH}?source=memory` : CONTRACT_PATH;
    const answer = await request(this.fleet.entryOrigin(member) + path, {
      method: isRead ? 'GET' : 'PUT',
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, ...message.headers},
      body: isRead ? null : JSON.stringify(message.body),
    });
    const body = (await answer.body.json()) as Omit<ContractResponse, 'status'>;
    return {...body, status: answer.statusCode};
  }

  /** Amends the contract on one entry and waits until all members return it. */
  async amendAndWait(writer: string, members: string[]): Promise<void> {
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
    const tookMs = await this.waitUntilVisible(members, answer.revision);
    this.histogram.recordValue(Math.max(1, Math.round(tookMs)));
    if (tookMs > MAX_PROPAGATION_MS) this.late += 1;
  }

  /** Waits until all members return the revision; returns the time in ms. */
  async waitUntilVisible(members: string[], revision: number): Promise<number> {
    const startMs = performance.now();
    let pending = [...members];
    while (
      pending.length > 0 &&
      performance.now() - startMs < PROPAGATION_TIMEOUT_MS
    ) {
      const revisions = await Promise.all(
        pending.map((member) => this.readRevision(member)),
      );
      pending = pending.filter((_, index) => revisions[index]! < revision);
      if (pending.length > 0) await sleep(POLL_INTERVAL_MS);
    }
    return performance.now() - startMs;
  }

  private async readRevision(member: string): Promise<number> {
    const {revision = 0} = await this.call(member);
    if (revision < (this.seenRevisions.get(member) ?? 0)) this.reverted += 1;
    this.seenRevisions.set(member, revision);
    return revision;
  }
}

/** Runs the `configuration` scenario with entry processes, links and HTTP. */
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
    return await measurePropagation(new ProcessRun(fleet), options);
  } finally {
    await fleet.stop();
    rmSync(folder, {recursive: true});
  }
}

async function measurePropagation(
  run: ProcessRun,
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const {fleet} = run;
  const {seconds} = options;
  const members = run.membersOutside();
  const callers = [{name: 'portal', keyHash: 'a'.repeat(64)}];
  const created = await run.call(members[0]!, {
    headers: {'if-none-match': '*'},
    body: {customer: CUSTOMER, callers},
  });
  await run.waitUntilVisible(members, created.revision);
  await fleet.setPlatformFaults({delayMs: 200, loseAnswers: 0.1});
  const phaseMs = (Math.min(seconds, 36) * 1000) / 3;
  options.progress('all data centres connected');
  await runChanges(run, {durationMs: phaseMs});
  options.progress('data centre c isolated');
  setPartitioned(run, true);
  await runChanges(run, {durationMs: phaseMs, partitioned: 'c'});
  const latest = await run.call(members[0]!);
  setPartitioned(run, false);
  options.progress('data centre c reconnected');
  const afterHealMs = Math.round(
    await run.waitUntilVisible(members, latest.revision),
  );
  await runChanges(run, {durationMs: phaseMs});
  const {contract} = await run.call(members[0]!);
  const lostUpdates = Math.max(0, run.changes + 1 - contract.share);
  const lateAfterHeal = afterHealMs > MAX_PROPAGATION_MS ? 1 : 0;
  return {
    changes: run.changes,
    refused: run.refused,
    inForceP50Ms: run.histogram.getValueAtPercentile(50),
    inForceP99Ms: run.histogram.getValueAtPercentile(99),
    inForceMaxMs: run.histogram.maxValue,
    afterHealMs,
    reverted: run.reverted,
    lostUpdates,
    violations: run.reverted + lostUpdates + run.late + lateAfterHeal,
  };
}

async function runChanges(
  run: ProcessRun,
  phase: {durationMs: number; partitioned?: string},
): Promise<void> {
  const endMs = performance.now() + phase.durationMs;
  const members = run.membersOutside(phase.partitioned);
  for (let n = 0; performance.now() < endMs; n++) {
    await run.amendAndWait(members[n % members.length]!, members);
  }
}

/** Cuts or restores all links between data centre c and the rest, both ways. */
function setPartitioned({fleet}: ProcessRun, isPartitioned: boolean): void {
  const isCutOff = (dataCentre: string): boolean => dataCentre === 'c';
  for (const from of fleet.members) {
    const faults = {cut: isPartitioned};
    if (isCutOff(from.dataCentre)) {
      fleet.mesh.setFaults({from: from.member, to: 'platform'}, faults);
    }
    for (const to of fleet.members) {
      if (isCutOff(from.dataCentre) === isCutOff(to.dataCentre)) continue;
      fleet.mesh.setFaults({from: from.member, to: to.member}, faults);
    }
  }
}
