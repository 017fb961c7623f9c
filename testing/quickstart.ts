import {rmSync} from 'node:fs';
import {parseArgs} from 'node:util';

import {sleep} from '../src/clock/sleep.js';
import {Caller, CallerResult} from './caller.js';
import {Fleet} from './fleet.js';
import {callOperatorApi, hashKey} from './operator_api.js';

const FOLDER = '.run/quickstart';
const CALLER_KEY = 'counter-key';
const WAIT_TIMEOUT_MS = 15_000;

const CONTRACT = {
  customer: 'association',
  share: 2,
  optimizeFor: 'batch-throughput',
  services: ['portal'],
  callers: [{name: 'counter', keyHash: hashKey(CALLER_KEY)}],
};

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function waitFor(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`Timed out waiting for ${description}`);
    }
    await sleep(50);
  }
}

function check(condition: boolean, text: string): void {
  if (!condition) throw new Error(`Cannot complete the quickstart: ${text}`);
}

/** Demonstrates the main functions of an installation with real processes. */
class QuickstartTour {
  private readonly caller: Caller;

  constructor(private readonly fleet: Fleet) {
    const origins = fleet.members
      .filter(({dataCentre}) => dataCentre === 'limoilou')
      .map(({member}) => fleet.entryOrigin(member));
    this.caller = new Caller({origins, key: CALLER_KEY});
  }

  async run(): Promise<void> {
    await this.createContract();
    await this.requestPreview();
    const watcherId = await this.startInventoryWatcher();
    await this.runBatchRender();
    await this.drainTarget();
    await this.stopEntryUnderLoad();
    const state = await this.fetchState(watcherId);
    check(state === 'running', `inventory watcher is ${state}`);
    print('The inventory watcher is still running.');
    await this.report();
    await this.caller.stop();
  }

  private async createContract(): Promise<void> {
    const origin = this.fleet.entryOrigin('levis-vm-1');
    const answer = await callOperatorApi(origin, {
      method: 'PUT',
      path: '/v1/contracts/association',
      body: CONTRACT,
      ifMatch: 0,
    });
    check(
      answer.status < 300,
      `cannot create the contract: ${JSON.stringify(answer.body)}`,
    );
    print('An operator in levis created the contract for "association".');
    const startMs = performance.now();
    await waitFor('the contract to take effect in limoilou', async () => {
      const results = [await this.caller.call(), await this.caller.call()];
      return results.every(({outcome}) => outcome === 'ran');
    });
    const elapsedMs = Math.round(performance.now() - startMs);
    print(`It took effect on both entries in limoilou after ${elapsedMs} ms.`);
  }

  private async requestPreview(): Promise<void> {
    const body = 'glitter '.repeat(1000);
    const result = await this.caller.call({body, urgency: 'urgent'});
    check(result.outcome === 'ran' && result.isCorrect, JSON.stringify(result));
    print(
      `A caller requested a preview and received the complete response in ${result.latencyMs.toFixed(1)} ms.`,
    );
  }

  private async startInventoryWatcher(): Promise<string> {
    const id = await this.submit({
      kind: 'inventory-watcher',
      urgency: 'standard',
      resources: {processors: 1, memoryMegabytes: 500, accelerators: 0},
      runTimeMs: 0,
      payload: {},
    });
    await this.waitForState(id, 'running');
    print(`A long-running inventory watcher is running (${id}).`);
    return id;
  }

  private async runBatchRender(): Promise<void> {
    const id = await this.submit({
      kind: 'catalogue-render',
      urgency: 'batch',
      resources: {processors: 8, memoryMegabytes: 16_000, accelerators: 0},
      runTimeMs: 4000,
      value: 10,
      payload: {actualRunTimeMs: 4000},
    });
    await this.waitForState(id, 'running');
    const worker = await this.fetchWorker(id);
    print(`A batch render was accepted and is running on ${worker} (${id}).`);
    await sleep(1000);
    await this.setVmState(worker, 'leaving');
    await waitFor('the render to resume on another worker', async () => {
      const current = await this.fetchWorker(id);
      return current !== '' && current !== worker;
    });
    const next = await this.fetchWorker(id);
    print(
      `${worker} is being removed: the render was checkpointed, stopped and resumed on ${next}.`,
    );
    await this.waitForState(id, 'ended');
    check(
      (await this.fetchJob(id))['code'] === 1000,
      'the render did not finish',
    );
    print('The render finished.');
  }

  private async drainTarget(): Promise<void> {
    const target = 'limoilou-target-1';
    await this.setVmState(target, 'leaving');
    await this.fleet.targetsControl({target, leave: true});
    const results = await this.burst(200);
    const ran = results.filter(({outcome}) => outcome === 'ran').length;
    print(
      `${target} is being removed: ${ran} of 200 requests ran on the other targets.`,
    );
    check(ran === 200, `${200 - ran} of 200 requests did not run`);
  }

  private async stopEntryUnderLoad(): Promise<void> {
    const member = 'limoilou-vm-2';
    const origin = this.fleet.entryOrigin(member);
    const pendingResults = Promise.all(
      Array.from({length: 16}, () => this.caller.call({workMs: 400, origin})),
    );
    await sleep(150);
    const status = await this.fleet.process('entry', member).terminate();
    const results = await pendingResults;
    const cutOffCount = results.filter(
      ({outcome, isCorrect}) => outcome === 'no-answer' || !isCorrect,
    ).length;
    print(
      `The entry on ${member} was stopped with 16 requests in flight: exit status ${status}, ${cutOffCount} requests aborted.`,
    );
    check(
      status === 0 && cutOffCount === 0,
      'the planned stop aborted requests',
    );
  }

  private async report(): Promise<void> {
    const targets = await this.fleet.targetsControl();
    const workers = await this.fleet.workersControl();
    print(
      `The stand-ins counted ${String(targets['requests'])} requests and ${String(workers['starts'])} task starts.`,
    );
    const violations = await this.fleet.violations();
    print(`Protocol violations: ${violations}.`);
    check(violations === 0, JSON.stringify({targets, workers}));
  }

  private async burst(count: number): Promise<CallerResult[]> {
    return Promise.all(
      Array.from({length: count}, (_, index) =>
        this.caller.call({body: `request ${index}`}),
      ),
    );
  }

  private async setVmState(
    vm: string,
    state: 'live' | 'leaving',
  ): Promise<void> {
    const vms = this.fleet.vms.map((entry) =>
      entry.vm === vm ? {...entry, state} : entry,
    );
    await this.fleet.setVms(vms);
  }

  private async submit(body: Record<string, unknown>): Promise<string> {
    let jobId = '';
    await waitFor('the job to be accepted', async () => {
      const answer = await this.caller.callJobApi('POST', {body});
      jobId = answer.body['jobId'] as string;
      return answer.status === 202;
    });
    return jobId;
  }

  private async fetchJob(id: string): Promise<Record<string, unknown>> {
    return (await this.caller.callJobApi('GET', {path: `/${id}`})).body;
  }

  private async fetchState(id: string): Promise<string> {
    return String((await this.fetchJob(id))['state']);
  }

  private async fetchWorker(id: string): Promise<string> {
    const tasks = (await this.fetchJob(id))['tasks'] as Array<{
      worker?: string;
    }>;
    const [task] = tasks ?? [];
    return task?.worker ?? '';
  }

  private waitForState(id: string, state: string): Promise<void> {
    return waitFor(
      `job ${id} to be ${state}`,
      async () => (await this.fetchState(id)) === state,
    );
  }
}

async function main(): Promise<void> {
  const {values} = parseArgs({options: {keep: {type: 'boolean'}}});
  rmSync(FOLDER, {recursive: true, force: true});
  print('Starting two data centres with two entry VMs each...');
  const dataCentre = {entryVms: 2, targets: 4, racks: 2, workersPerRack: 2};
  const fleet = await Fleet.start({
    folder: FOLDER,
    dataCentres: [
      {name: 'limoilou', ...dataCentre},
      {name: 'levis', ...dataCentre},
    ],
  });
  try {
    await fleet.waitUntilReady();
    await new QuickstartTour(fleet).run();
    print(`Decision logs: ${FOLDER}/entry-*.log and ${FOLDER}/scheduler-*.log`);
    if (values.keep) await keepRunning(fleet);
  } finally {
    await fleet.stop();
  }
}

async function keepRunning(fleet: Fleet): Promise<void> {
  const origin = fleet.entryOrigin('limoilou-vm-1');
  print(`\nRunning until Ctrl-C. Entries:`);
  for (const {member} of fleet.members) {
    print(`  ${member}  ${fleet.entryOrigin(member)}`);
  }
  print('Try:');
  print(
    `  curl -s -H "authorization: Bearer ${CALLER_KEY}" -d hello ${origin}/v1/services/portal/preview`,
  );
  print(`  curl -s ${origin}/metrics`);
  print(`  tail -f ${FOLDER}/scheduler-limoilou-vm-1.log`);
  await new Promise((resolve) => process.once('SIGINT', resolve));
}

await main();
