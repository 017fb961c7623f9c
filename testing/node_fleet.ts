import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';

import {ManagedProcess} from './managed_process.js';
import {FaultyLink} from './faulty_link.js';
import {freePorts} from './free_ports.js';
import {simpleWorker} from './simple_definitions.js';
import {StoreStandIn} from './store_stand_in.js';
import {TaskWorkerStandIn} from './task_worker_stand_in.js';

/** Options of {@link NodeFleet}. */
export interface NodeFleetOptions {
  /** @default 3 */
  nodes?: number;
  /** @default 4 */
  workers?: number;
  /** Time in ms that a task takes. @default 300 */
  taskMs?: number;
  /**
   * Puts faulty links between each node and the store, and before each worker.
   *
   * @default false
   */
  withFaultyLinks?: boolean;
  /** Seed of the links' faults. @default 1 */
  seed?: number;
  /** Folder for settings and logs, kept afterwards. @default a temporary one */
  folder?: string;
}

/** A node program and the addresses it serves. */
export interface FleetNode {
  process: ManagedProcess;
  callersPort: number;
  readinessPort: number;
  metricsPort: number;
  logFile: string;
  /** Link to the store; undefined without faulty links. */
  storeLink?: FaultyLink;
}

/** A worker and the link through which nodes reach it. */
export interface FleetWorker {
  standIn: TaskWorkerStandIn;
  link?: FaultyLink;
}

const HOST = 'jobs.example';
const ROUTE_PREFIX = '/jobs/';

function buildRoute(name: string, prefix: string): object {
  return {
    name,
    host: HOST,
    prefix,
    service: 'service',
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
    timeoutMs: 3000,
  };
}

/** Prefix of the route that only one version of the configuration has. */
export function versionRoutePrefix(version: number): string {
  return `/version-${version}/`;
}

function buildConfiguration(version: number): object {
  const routes = [
    buildRoute('r', ROUTE_PREFIX),
    buildRoute('v', versionRoutePrefix(version)),
  ];
  const services = [{name: 'service', admissionCheck: true}];
  return {version, routes, services, limits: {maxBodyBytes: 262_144}};
}

/** Node programs as processes, with a store and workers in this process. */
export class NodeFleet {
  readonly store = new StoreStandIn();
  readonly nodes: FleetNode[] = [];
  /** Promises about tasks that were not kept. */
  readonly violations: string[] = [];
  readonly workers: FleetWorker[] = [];
  /** Times in ms of the latest start of each task. */
  readonly startedMs = new Map<string, number>();
  private readonly workersByTask = new Map<string, Set<string>>();
  private readonly acknowledgedRuns = new Map<string, number>();
  private readonly links: FaultyLink[] = [];
  private version = 0;
  private readonly folder: string;

  constructor(private readonly options: NodeFleetOptions = {}) {
    const {folder} = options;
    if (folder !== undefined) mkdirSync(folder, {recursive: true});
    this.folder = folder ?? mkdtempSync(join(tmpdir(), 'banyanmux-'));
  }

  /** Starts everything and waits until all nodes are ready. */
  async start(): Promise<void> {
    const {nodes = 3, workers = 4} = this.options;
    const [storePort] = await freePorts(1);
    await this.store.listen(storePort!);
    this.publishConfiguration();
    for (const port of await freePorts(workers)) await this.addWorker(port);
    for (let number = 1; number <= nodes; number++) {
      await this.addNode(`node-${number}`, storePort!);
    }
    for (const node of this.nodes) await this.waitUntilReady(node);
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map(({process}) => process.kill()));
    for (const {standIn} of this.workers) standIn.stop();
    await Promise.all(this.links.map((link) => link.stop()));
    this.store.stop();
    if (this.options.folder === undefined) {
      rmSync(this.folder, {recursive: true});
    }
  }

  /** Puts the next version of the configuration in the store. */
  publishConfiguration(): number {
    this.version += 1;
    this.put('op/config', buildConfiguration(this.version));
    return this.version;
  }

  /** Waits until a node says that it is ready. */
  async waitUntilReady(node: FleetNode): Promise<void> {
    const url = `http://127.0.0.1:${node.readinessPort}/api/readiness`;
    for (let round = 0; round < 300; round++) {
      const status = await request(url).then(
        async ({statusCode, body}) => {
          await body.dump();
          return statusCode;
        },
        () => 0,
      );
      if (status === 200) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`Cannot use ${node.process.name}: it does not get ready`);
  }

  /** Node that took ownership last, as its log says. */
  get owner(): FleetNode {
    const owners = this.nodes
      .map((node) => ({node, atMs: lastOwnershipTimeMs(node)}))
      .sort((left, right) => right.atMs - left.atMs);
    return owners[0]!.node;
  }

  /** Calls a node as a caller does; status 0 if there is no answer. */
  async call(
    node: FleetNode,
    method: 'GET' | 'POST' | 'DELETE',
    call: {id: string; body?: unknown; prefix?: string},
  ): Promise<{status: number; state?: string}> {
    const {prefix = ROUTE_PREFIX} = call;
    const url = `http://127.0.0.1:${node.callersPort}${prefix}${call.id}`;
    try {
      const answer = await request(url, {
        method,
        headers: {host: HOST, 'content-type': 'application/json'},
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headersTimeout: 4000,
      });
      const text = await answer.body.text();
      const body = (text === '' ? {} : JSON.parse(text)) as {state?: string};
      return {status: answer.statusCode, state: body.state};
    } catch {
      return {status: 0};
    }
  }

  private put(key: string, value: unknown): void {
    this.store.store.put(key, Buffer.from(JSON.stringify(value)));
  }

  private async addWorker(port: number): Promise<void> {
    const id = `w-${port}`;
    const link = await this.addLink(port);
    const entry = simpleWorker(id, {address: `127.0.0.1:${port}`});
    const worker = new TaskWorkerStandIn({
      entry,
      longestLeaseMs: 6000,
      taskMs: this.options.taskMs ?? 300,
      onBegin: (task, run) => this.recordStart(id, task, run),
      onGone: (task) => this.workersByTask.get(task)?.delete(id),
      onNoted: (task, run) => this.acknowledgedRuns.set(task, run),
    });
    await worker.listen();
    this.workers.push({standIn: worker, link: link?.link});
    this.put(`servers/${id}`, {
      service: entry.service,
      address: link ? `127.0.0.1:${link.port}` : entry.address,
      zone: entry.dataCentre,
      state: 'ready',
      capacity: {cpu: 8000, memoryRequestMb: 16_000, gpu: 0},
      labels: entry.labels,
      born: entry.bornMs,
    });
  }

  private async addLink(
    targetPort: number,
  ): Promise<{link: FaultyLink; port: number} | undefined> {
    if (!this.options.withFaultyLinks) return undefined;
    const seed = (this.options.seed ?? 1) + targetPort;
    const link = new FaultyLink({targetPort, seed});
    const [port] = await freePorts(1);
    await link.listen(port);
    this.links.push(link);
    return {link, port: port!};
  }

  private recordStart(workerId: string, task: string, run: number): void {
    const workers = this.workersByTask.get(task) ?? new Set();
    this.workersByTask.set(task, workers);
    if (workers.size > 0) this.violations.push(`${task} run ${run} is doubled`);
    if ((this.acknowledgedRuns.get(task) ?? Infinity) < run) {
      const acknowledgedRun = this.acknowledgedRuns.get(task);
      this.violations.push(
        `${task} run ${run} began on ${workerId} after the end of run ${acknowledgedRun}`,
      );
    }
    workers.add(workerId);
    this.startedMs.set(task, performance.now());
  }

  private async addNode(name: string, storePort: number): Promise<void> {
    const ports = await freePorts(4);
    const storeLink = await this.addLink(storePort);
    const [callersPort, linksPort, readinessPort, metricsPort] = ports;
    const settingsFile = join(this.folder, `${name}.jsonc`);
    const logFile = join(this.folder, `${name}.log`);
    const settings = {
      node: name,
      dataCentre: 'levis',
      region: 'quebec-capitale',
      callers: `127.0.0.1:${callersPort}`,
      links: `127.0.0.1:${linksPort}`,
      readiness: `127.0.0.1:${readinessPort}`,
      metrics: `127.0.0.1:${metricsPort}`,
      store: {address: `127.0.0.1:${storeLink?.port ?? storePort}`},
      workers: {longestLeaseMs: 6000},
      jobs: {keepFinishedSeconds: 120},
      stop: {gracePeriodSeconds: 3},
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const process = new ManagedProcess({
      name,
      script: 'build/src/node/banyanmux_node.js',
      arguments: ['--settings', settingsFile],
      logFile,
    });
    process.start();
    this.nodes.push({
      process,
      callersPort: callersPort!,
      readinessPort: readinessPort!,
      metricsPort: metricsPort!,
      logFile,
      storeLink: storeLink?.link,
    });
  }
}

function lastOwnershipTimeMs(node: FleetNode): number {
  const lines = readFileSync(node.logFile, 'utf8').split('\n');
  const line = lines.findLast((text) => text.includes('orchestrator-start'));
  if (!line) return -1;
  return Date.parse((JSON.parse(line) as {time: string}).time);
}
