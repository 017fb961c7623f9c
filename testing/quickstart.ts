import {rmSync} from 'node:fs';
import {parseArgs} from 'node:util';

import {sleep} from '../src/clock/sleep.js';
import {Caller, CallerResult} from './caller.js';
import {Fleet} from './fleet.js';
import {callOperator, hashOf} from './operator.js';

const FOLDER = '.run/quickstart';
const CALLER_KEY = 'counter-key';
const WAIT_LIMIT_MS = 15_000;

const CONTRACT = {
  customer: 'association',
  share: 2,
  optimizeFor: 'batch-throughput',
  services: ['portal'],
  callers: [{name: 'counter', keyHash: hashOf(CALLER_KEY)}],
};

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function waitFor(
  what: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_LIMIT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`Cannot see in time: ${what}`);
    }
    await sleep(50);
  }
}

function check(isRight: boolean, text: string): void {
  if (!isRight) throw new Error(`Cannot finish the tour: ${text}`);
}

/** Walks through what an installation does, with real processes. */
class Tour {
  private readonly caller: Caller;

  constructor(private readonly fleet: Fleet) {
    const origins = fleet.members
      .filter(({dataCentre}) => dataCentre === 'limoilou')
      .map(({member}) => fleet.entryOrigin(member));
    this.caller = new Caller({origins, key: CALLER_KEY});
  }

  async run(): Promise<void> {
    await this.createContract();
    await this.askForPreview();
    const watcherId = await this.startWatcher();
    await this.runRender();
    await this.leaveTarget();
    await this.stopEntryUnderLoad();
    const state = await this.stateOf(watcherId);
    check(state === 'running', `the watcher is ${state}`);
    say('The inventory watcher still runs.');
    await this.report();
    await this.caller.stop();
  }

  private async createContract(): Promise<void> {
    const origin = this.fleet.entryOrigin('levis-vm-1');
    const answer = await callOperator(origin, {
      method: 'PUT',
      path: '/v1/contracts/association',
      body: CONTRACT,
      ifMatch: 0,
    });
    check(answer.status < 300, `contract: ${JSON.stringify(answer.body)}`);
    say('An operator in levis created the contract of "association".');
    const startMs = performance.now();
    await waitFor('the contract in limoilou', async () => {
      const results = [await this.caller.call(), await this.caller.call()];
      return results.every(({outcome}) => outcome === 'ran');
    });
    const elapsedMs = Math.round(performance.now() - startMs);
    say(`It was in force on both entries of limoilou after ${elapsedMs} ms.`);
  }

  private async askForPreview(): Promise<void> {
    const body = 'glitter '.repeat(1000);
    const result = await this.caller.call({body, urgency: 'urgent'});
    check(result.outcome === 'ran' && result.isRight, JSON.stringify(result));
    say(
      `A counter caller asked for a preview and got its whole answer in ${result.latencyMs.toFixed(1)} ms.`,
    );
  }

  private async startWatcher(): Promise<string> {
    const id = await this.submit({
      kind: 'inventory-watcher',
      urgency: 'standard',
      resources: {processors: 1, memoryMegabytes: 500, accelerators: 0},
      runTimeMs: 0,
      payload: {},
    });
    await this.waitForState(id, 'running');
    say(`A standing inventory watcher runs (${id}).`);
    return id;
  }

  private async runRender(): Promise<void> {
    const id = await this.submit({
      kind: 'catalogue-render',
      urgency: 'batch',
      resources: {processors: 8, memoryMegabytes: 16_000, accelerators: 0},
      runTimeMs: 4000,
      value: 10,
      payload: {actualRunTimeMs: 4000},
    });
    await this.waitForState(id, 'running');
    const worker = await this.workerOf(id);
    say(`A batch render was accepted and runs on ${worker} (${id}).`);
    await sleep(1000);
    await this.setVmState(worker, 'leaving');
    await waitFor('the render on another worker', async () => {
      const current = await this.workerOf(id);
      return current !== '' && current !== worker;
    });
    const next = await this.workerOf(id);
    say(
      `${worker} is to be removed: the render was checkpointed, stopped and resumed on ${next}.`,
    );
    await this.waitForState(id, 'ended');
    check((await this.job(id))['code'] === 1000, 'the render did not finish');
    say('The render finished.');
  }

  private async leaveTarget(): Promise<void> {
    const target = 'limoilou-target-1';
    await this.setVmState(target, 'leaving');
    await this.fleet.targetsControl({target, leave: true});
    const results = await this.burst(200);
    const ran = results.filter(({outcome}) => outcome === 'ran').length;
    say(`${target} leaves: ${ran} of 200 requests ran on the other targets.`);
    check(ran === 200, `${200 - ran} requests did not run`);
  }

  private async stopEntryUnderLoad(): Promise<void> {
    const member = 'limoilou-vm-2';
    const origin = this.fleet.entryOrigin(member);
    const load = Promise.all(
      Array.from({length: 16}, () => this.caller.call({workMs: 400, origin})),
    );
    await sleep(150);
    const status = await this.fleet.process('entry', member).terminate();
    const results = await load;
    const cut = results.filter(
      ({outcome, isRight}) => outcome === 'no-answer' || !isRight,
    ).length;
    say(
      `The entry on ${member} was stopped with 16 requests in flight: exit status ${status}, ${cut} cut off.`,
    );
    check(status === 0 && cut === 0, 'the planned stop cut off requests');
  }

  private async report(): Promise<void> {
    const targets = await this.fleet.targetsControl();
    const workers = await this.fleet.workersControl();
    say(
      `Counted by the stand-ins: ${String(targets['requests'])} requests, ${String(workers['starts'])} task starts.`,
    );
    const violations = await this.fleet.violations();
    say(`Broken promises: ${violations}.`);
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
    await waitFor('the job accepted', async () => {
      const answer = await this.caller.job('POST', {body});
      jobId = answer.body['jobId'] as string;
      return answer.status === 202;
    });
    return jobId;
  }

  private async job(id: string): Promise<Record<string, unknown>> {
    return (await this.caller.job('GET', {path: `/${id}`})).body;
  }

  private async stateOf(id: string): Promise<string> {
    return String((await this.job(id))['state']);
  }

  private async workerOf(id: string): Promise<string> {
    const tasks = (await this.job(id))['tasks'] as Array<{worker?: string}>;
    const [task] = tasks ?? [];
    return task?.worker ?? '';
  }

  private waitForState(id: string, state: string): Promise<void> {
    return waitFor(
      `job ${id} ${state}`,
      async () => (await this.stateOf(id)) === state,
    );
  }
}

async function main(): Promise<void> {
  const {values} = parseArgs({options: {keep: {type: 'boolean'}}});
  rmSync(FOLDER, {recursive: true, force: true});
  say('Starting two data centres with two entry VMs each ...');
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
    await new Tour(fleet).run();
    say(`Decision logs: ${FOLDER}/entry-*.log and ${FOLDER}/scheduler-*.log`);
    if (values.keep) await keepRunning(fleet);
  } finally {
    await fleet.stop();
  }
}

async function keepRunning(fleet: Fleet): Promise<void> {
  const origin = fleet.entryOrigin('limoilou-vm-1');
  say(`\nStill up until Ctrl-C. Entries:`);
  for (const {member} of fleet.members) {
    say(`  ${member}  ${fleet.entryOrigin(member)}`);
  }
  say('Try:');
  say(
    `  curl -s -H "authorization: Bearer ${CALLER_KEY}" -d hello ${origin}/v1/services/portal/preview`,
  );
  say(`  curl -s ${origin}/metrics`);
  say(`  tail -f ${FOLDER}/scheduler-limoilou-vm-1.log`);
  await new Promise((resolve) => process.once('SIGINT', resolve));
}

await main();
