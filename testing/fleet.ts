import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {request} from 'undici';

import {sleep} from '../src/clock/sleep.js';
import {VmEntry} from '../src/platform/platform_service.js';
import {ManagedProcess} from './managed_process.js';
import {FleetMember, FleetOptions} from './fleet_options.js';
import {freePorts} from './free_ports.js';
import {LinkMesh} from './link_mesh.js';
import {PlatformFaults} from './platform_stand_in.js';
import {callControl} from './stand_in_control.js';

/** Token of the operator that every entry accepts with the role `change`. */
export const OPERATOR_TOKEN = 'operator-token-for-tests';

const ENTRY_SCRIPT = 'build/src/entry/banyanmux_entry.js';
const SCHEDULER_SCRIPT = 'build/src/scheduler/banyanmux_scheduler.js';
const READY_TIMEOUT_MS = 20_000;
const DEFAULT_CAPACITY = {
  processors: 32,
  memoryMegabytes: 125_000,
  accelerators: 1,
};

/**
 * A complete installation on 127.0.0.1 that consists of child processes: the
 * platform, targets and workers run as stand-ins, and each entry VM runs the
 * real entry and scheduler programs.
 */
export class Fleet {
  readonly members: FleetMember[] = [];
  /** VM list that the platform was last given. */
  vms: VmEntry[] = [];
  /** Faulty links between the processes; empty without `withFaultyLinks`. */
  readonly mesh: LinkMesh;
  platformPort = 0;
  private targetsControlPort = 0;
  private workersControlPort = 0;
  private readonly processes = new Map<string, ManagedProcess>();

  private constructor(private readonly options: FleetOptions) {
    this.mesh = new LinkMesh(options.seed ?? 1);
  }

  /**
   * Starts all processes. The entries may not be ready yet when this returns:
   * see {@link waitUntilReady}.
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    mkdirSync(options.folder, {recursive: true});
    await fleet.startStandIns();
    await fleet.prepareMembers();
    for (const member of fleet.members) fleet.startMember(member.member);
    return fleet;
  }

  /** Origin of the HTTP API of an entry. */
  entryOrigin(member: string): string {
    return `http://127.0.0.1:${this.findMember(member).entryHttpPort}`;
  }

  /** Returns the process of a member by role: 'entry' or 'scheduler'. */
  process(role: string, member: string): ManagedProcess {
    const found = this.processes.get(`${role}-${member}`);
    if (!found) throw new Error(`Cannot find ${role} process of ${member}`);
    return found;
  }

  /** Starts the entry of an entry VM and, if enabled, its scheduler. */
  startMember(member: string): void {
    this.process('entry', member).start();
    if (this.options.withSchedulers ?? true) {
      this.process('scheduler', member).start();
    }
  }

  /** Waits until `/readyz` of each member's entry returns 200. */
  async waitUntilReady(
    members: readonly string[] = this.members.map(({member}) => member),
  ): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (const member of members) {
      while (!(await this.isReady(member))) {
        if (performance.now() > deadlineMs) {
          throw new Error(
            `Cannot start ${member}: its entry did not become ready in time`,
          );
        }
        await sleep(50);
      }
    }
  }

  /** Replaces the faults of the platform. */
  async setPlatformFaults(faults: PlatformFaults): Promise<void> {
    await callControl(this.platformPort, {faults});
  }

  /** Replaces the VM list that the platform serves. */
  async setVms(vms: VmEntry[]): Promise<void> {
    this.vms = vms;
    await callControl(this.platformPort, {vms});
  }

  /** Sends a control request to the platform; returns its counters and state. */
  platformControl(
    body: Record<string, unknown> = {},
  ): Promise<Record<string, unknown>> {
    return callControl(this.platformPort, body);
  }

  /** Sends a control request to the targets; returns their counters. */
  targetsControl(
    body: Record<string, unknown> = {},
  ): Promise<Record<string, unknown>> {
    return callControl(this.targetsControlPort, body);
  }

  /** Sends a control request to the workers; returns their counters. */
  workersControl(
    body: Record<string, unknown> = {},
  ): Promise<Record<string, unknown>> {
    return callControl(this.workersControlPort, body);
  }

  /** Total number of protocol violations counted by targets and workers. */
  async violations(): Promise<number> {
    const reports = [await this.targetsControl(), await this.workersControl()];
    return reports
      .flatMap(({violations}) =>
        Object.values(violations as Record<string, number>),
      )
      .reduce((sum, count) => sum + count, 0);
  }

  /** Kills all processes, paused ones included, and closes the links. */
  async stop(): Promise<void> {
    for (const child of this.processes.values()) child.signal('SIGCONT');
    await Promise.all(
      [...this.processes.values()].map((child) => child.kill()),
    );
    await this.mesh.stop();
  }

  private async isReady(member: string): Promise<boolean> {
    try {
      const answer = await request(`${this.entryOrigin(member)}/readyz`);
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  private findMember(name: string): FleetMember {
    const found = this.members.find(({member}) => member === name);
    if (!found) throw new Error(`Cannot find member "${name}"`);
    return found;
  }

  private async startStandIns(): Promise<void> {
    const targets = this.describeTargets();
    const workers = this.describeWorkers();
    const ports = await freePorts(3 + targets.length + workers.length);
    this.platformPort = ports.pop()!;
    this.targetsControlPort = ports.pop()!;
    this.workersControlPort = ports.pop()!;
    for (const entry of [...targets, ...workers]) entry.port = ports.pop()!;
    const {vmListLagMs = 500, seed = 1, targetWorkMs = 5} = this.options;
    this.addProcess('platform', 'build/testing/platform_process.js', [
      String(this.platformPort),
      String(vmListLagMs),
      String(seed),
    ]);
    const targetsArgument = {
      controlPort: this.targetsControlPort,
      workMs: targetWorkMs,
      targets: targets.map(({vm, port}) => ({target: vm, port})),
    };
    this.addProcess('targets', 'build/testing/targets_process.js', [
      JSON.stringify(targetsArgument),
    ]);
    const {workerCapacity = DEFAULT_CAPACITY, clockRates = [1]} = this.options;
    const workersArgument = {
      controlPort: this.workersControlPort,
      workers: workers.map(({vm, port}, index) => ({
        worker: vm,
        port,
        capacity: workerCapacity,
        clockRate: clockRates[index % clockRates.length],
      })),
    };
    this.addProcess('workers', 'build/testing/workers_process.js', [
      JSON.stringify(workersArgument),
    ]);
    for (const name of ['platform', 'targets', 'workers']) {
      this.processes.get(name)!.start();
    }
    await this.waitForControlEndpoints();
    await this.publishVms([...targets, ...workers]);
  }

  private async waitForControlEndpoints(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (const port of [
      this.platformPort,
      this.targetsControlPort,
      this.workersControlPort,
    ]) {
      for (;;) {
        try {
          await callControl(port);
          break;
        } catch (error) {
          if (performance.now() > deadlineMs) throw error;
          await sleep(30);
        }
      }
    }
  }

  private async publishVms(entries: VmEntry[]): Promise<void> {
    const published: VmEntry[] = [];
    for (const entry of entries) {
      const port = await this.portThroughLink(
        {from: 'any', to: entry.vm},
        entry.port,
      );
      published.push({...entry, port});
    }
    await this.setVms(published);
  }

  private portThroughLink(
    endpoints: {from: string; to: string},
    port: number,
  ): Promise<number> {
    if (!this.options.withFaultyLinks) return Promise.resolve(port);
    return this.mesh.add(endpoints, port);
  }

  private describeTargets(): VmEntry[] {
    const {targetsPerShard = 2, service = 'portal'} = this.options;
    return this.options.dataCentres.flatMap(({name, targets}) =>
      Array.from({length: targets}, (_, index) => ({
        vm: `${name}-target-${index + 1}`,
        dataCentre: name,
        kind: 'target' as const,
        host: '127.0.0.1',
        port: 0,
        shard: `${name}-group-${Math.floor(index / targetsPerShard) + 1}`,
        service,
        state: 'live' as const,
      })),
    );
  }

  private describeWorkers(): VmEntry[] {
    return this.options.dataCentres.flatMap(({name, racks, workersPerRack}) =>
      Array.from({length: racks * workersPerRack}, (_, index) => ({
        vm: `${name}-worker-${index + 1}`,
        dataCentre: name,
        kind: 'worker' as const,
        host: '127.0.0.1',
        port: 0,
        shard: `${name}-rack-${Math.floor(index / workersPerRack) + 1}`,
        state: 'live' as const,
      })),
    );
  }

  private async prepareMembers(): Promise<void> {
    for (const {name, entryVms} of this.options.dataCentres) {
      for (let index = 1; index <= entryVms; index++) {
        const [entryHttpPort, entryLinkPort, schedulerLinkPort] =
          await freePorts(3);
        this.members.push({
          member: `${name}-vm-${index}`,
          dataCentre: name,
          entryHttpPort: entryHttpPort!,
          entryLinkPort: entryLinkPort!,
          schedulerLinkPort: schedulerLinkPort!,
        });
      }
    }
    for (const member of this.members) await this.writeSettings(member);
  }

  private async writeSettings(own: FleetMember): Promise<void> {
    const {folder, entrySettings, schedulerSettings} = this.options;
    const platformPort = await this.portThroughLink(
      {from: own.member, to: 'platform'},
      this.platformPort,
    );
    const settings = {
      member: own.member,
      dataCentre: own.dataCentre,
      region: 'region',
      linkToken: 'link-token-for-tests',
      members: await this.memberAddressesFor(own),
      platform: {
        origin: `http://127.0.0.1:${platformPort}`,
        vmListIntervalMs: 500,
      },
    };
    const operator = {
      name: 'operator',
      role: 'change',
      tokenHash: createHash('sha256').update(OPERATOR_TOKEN).digest('hex'),
    };
    const roles = {
      entry: {entry: {operators: [operator]}, ...entrySettings},
      scheduler: schedulerSettings,
    };
    for (const [role, roleSettings] of Object.entries(roles)) {
      const file = join(folder, `${role}-${own.member}.jsonc`);
      writeFileSync(
        file,
        JSON.stringify({...settings, ...roleSettings}, null, 2),
      );
      const script = role === 'entry' ? ENTRY_SCRIPT : SCHEDULER_SCRIPT;
      this.addProcess(`${role}-${own.member}`, script, ['--settings', file]);
    }
  }

  private async memberAddressesFor(
    own: FleetMember,
  ): Promise<Array<FleetMember & {host: string}>> {
    const addresses: Array<FleetMember & {host: string}> = [];
    for (const other of this.members) {
      const endpoints = {from: own.member, to: other.member};
      const isSelf = other === own;
      const portFor = (port: number): Promise<number> =>
        isSelf ? Promise.resolve(port) : this.portThroughLink(endpoints, port);
      addresses.push({
        ...other,
        host: '127.0.0.1',
        entryHttpPort: await portFor(other.entryHttpPort),
        entryLinkPort: await portFor(other.entryLinkPort),
        schedulerLinkPort: await portFor(other.schedulerLinkPort),
      });
    }
    return addresses;
  }

  private addProcess(
    name: string,
    script: string,
    args: readonly string[],
  ): void {
    const logFile = join(this.options.folder, `${name}.log`);
    this.processes.set(
      name,
      new ManagedProcess({name, script, arguments: args, logFile}),
    );
  }
}
