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

import {sleep} from '../src/clock/sleep.js';
import {ManagedProcess} from './managed_process.js';
import {CrashLimit} from './crash_limit.js';
import {FaultyLink} from './faulty_link.js';
import {freePorts} from './free_ports.js';
import {simpleWorker} from './simple_definitions.js';
import {StoreStandIn} from './store_stand_in.js';
import {TaskWorkerStandIn} from './task_worker_stand_in.js';

/** Options of {@link NodeFleet}. */
export interface NodeFleetOptions {
  /** Number of nodes. @default 3 */
  nodes?: number;
  /** Number of workers. @default 4 */
  workers?: number;
  /** Run time of each task in ms. @default 300 */
  taskMs?: number;
  /** Settings of the door of each node. @default those of the schema */
  door?: Readonly<Record<string, number>>;
  /** Limit on open descriptors of a node. @default that of this process */
  descriptorLimit?: number;
  /** Limit in MB on the heap of a node. @default that of Node.js */
  heapLimitMb?: number;
  /**
   * Connects each node to the store, and all nodes to each worker, through
   * faulty links.
   *
   * @default false
   */
  withFaultyLinks?: boolean;
  /** Seed of the random faults of the links. @default 1 */
  seed?: number;
  /**
   * Directory for settings files and logs, kept afterwards.
   *
   * @default a temporary directory that {@link NodeFleet.stop} removes
   */
  folder?: string;
}

/** A node process and the ports on which it listens. */
export interface FleetNode {
  process: ManagedProcess;
  /** Port for requests of callers. */
  callersPort: number;
  /** Port for links from other nodes while this node is the owner. */
  linksPort: number;
  readinessPort: number;
  metricsPort: number;
  logFile: string;
  /** Link to the store; undefined without faulty links. */
  storeLink?: FaultyLink;
}

/** A worker and, with faulty links, the link through which nodes reach it. */
export interface FleetWorker {
  /** Id of the present incarnation. */
  id: string;
  /** Address that the nodes use. */
  address: string;
  standIn: TaskWorkerStandIn;
  /** CPU in millicores that it offers now. */
  cpuMillicores: number;
  /** Time in ms of the latest change of its CPU. */
  resizedMs: number;
  isDown: boolean;
  /** Number of runs that it has started. */
  startCount: number;
  link?: FaultyLink;
}

/** Request of a caller about a job. */
export interface FleetCall {
  id: string;
  /** @default no body */
  body?: unknown;
  /** Path prefix of the route. @default that of the fleet's queue */
  prefix?: string;
  /** Time in ms after which the caller leaves. @default 4000 */
  leavesAfterMs?: number;
}

const CALL_TIMEOUT_MS = 4000;

/** Prefix of the ids of jobs whose first task crashes its workers. */
export const CRASHING_JOB_PREFIX = 'dead';

/** Prefix of the ids of jobs whose tasks run until they are stopped. */
export const LONG_RUNNING_JOB_PREFIX = 'a11';

/** Time in ms from the start of a crashing task to the crash. */
const CRASH_DELAY_MS = 10;

/** Time in ms for which a crashed worker is down. */
const CRASH_DOWN_MS = 1500;

const HOST = 'jobs.example';
const ROUTE_PREFIX = '/jobs/';

function isCrashing(task: string): boolean {
  return task.startsWith(CRASHING_JOB_PREFIX) && task.endsWith('.0.0.0');
}

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

/** Path prefix of the route that only this configuration version contains. */
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

/**
 * Node programs that run as child processes, with stand-ins for the store and
 * the workers in the test process.
 */
export class NodeFleet {
  readonly store = new StoreStandIn();
  readonly nodes: FleetNode[] = [];
  /** Descriptions of task runs that broke the execution guarantees. */
  readonly violations: string[] = [];
  readonly workers: FleetWorker[] = [];
  /** Time in ms of the latest start by task id. */
  readonly startedMs = new Map<string, number>();
  /** Ids of the workers that run each task; at most one is allowed. */
  private readonly workersByTask = new Map<string, Set<string>>();
  /** Number of workers that each crashing task has crashed. */
  readonly crashes = new Map<string, number>();
  private readonly crashLimit = new CrashLimit();
  /** Run of each task whose successful end was acknowledged. */
  private readonly acknowledgedRuns = new Map<string, number>();
  private readonly links: FaultyLink[] = [];
  private version = 0;
  private isStopped = false;
  private readonly folder: string;

  constructor(private readonly options: NodeFleetOptions = {}) {
    const {folder} = options;
    if (folder !== undefined) mkdirSync(folder, {recursive: true});
    this.folder = folder ?? mkdtempSync(join(tmpdir(), 'banyanmux-'));
  }

  /** Starts the stand-ins and the nodes and waits until all nodes are ready. */
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

  /** Kills all nodes and stops the stand-ins and links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.nodes.map(({process}) => process.kill()));
    for (const {standIn} of this.workers) standIn.stop();
    await Promise.all(this.links.map((link) => link.stop()));
    this.store.stop();
    if (this.options.folder === undefined) {
      rmSync(this.folder, {recursive: true});
    }
  }

  /** Writes the next configuration version to the store; returns the version. */
  publishConfiguration(): number {
    this.version += 1;
    this.put('op/config', buildConfiguration(this.version));
    return this.version;
  }

  /** Asks as an operator to evacuate a data centre. */
  requestEvacuation(dataCentre: string): void {
    this.put(`op/evacuate/${dataCentre}`, {});
  }

  /** Takes the request to evacuate a data centre back. */
  takeBackEvacuation(dataCentre: string): void {
    this.store.store.remove(`op/evacuate/${dataCentre}`);
  }

  /** Waits until the readiness endpoint of a node returns 200. */
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
    throw new Error(
      `Cannot use ${node.process.name}: it did not become ready in time`,
    );
  }

  /** Node that took ownership most recently, according to the logs. */
  get owner(): FleetNode {
    const owners = this.nodes
      .map((node) => ({node, atMs: lastOwnershipTimeMs(node)}))
      .sort((left, right) => right.atMs - left.atMs);
    return owners[0]!.node;
  }

  /** Sends a request of a caller to a node; status 0 means no response. */
  async call(
    node: FleetNode,
    method: 'GET' | 'POST' | 'DELETE',
    call: FleetCall,
  ): Promise<{status: number; state?: string}> {
    const {prefix = ROUTE_PREFIX, leavesAfterMs = CALL_TIMEOUT_MS} = call;
    const url = `http://127.0.0.1:${node.callersPort}${prefix}${call.id}`;
    try {
      const answer = await request(url, {
        method,
        headers: {host: HOST, 'content-type': 'application/json'},
        body: call.body === undefined ? null : JSON.stringify(call.body),
        headersTimeout: leavesAfterMs,
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
    const standIn = new TaskWorkerStandIn({
      registration: entry,
      longestLeaseMs: 6000,
      taskMs: this.options.taskMs ?? 300,
      isLongRunning: (task) => task.startsWith(LONG_RUNNING_JOB_PREFIX),
      onStarted: (task, run) => {
        worker.startCount += 1;
        this.recordStart(id, task, run);
        if (isCrashing(task)) this.recordCrashingStart(worker, task);
      },
      onRemoved: (task) => this.workersByTask.get(task)?.delete(id),
      onCompleted: (task, run) => this.acknowledgedRuns.set(task, run),
    });
    const worker: FleetWorker = {
      id,
      address: link ? `127.0.0.1:${link.port}` : entry.address,
      standIn,
      link: link?.link,
      cpuMillicores: entry.capacity.cpuMillicores,
      resizedMs: -Infinity,
      isDown: false,
      startCount: 0,
    };
    await standIn.listen();
    this.workers.push(worker);
    this.registerWorker(worker);
  }

  /** Returns whether the success of a task was acknowledged. */
  hasSucceeded(task: string): boolean {
    return this.acknowledgedRuns.has(task);
  }

  /** Changes the CPU that a worker offers, in millicores. */
  resizeWorker(worker: FleetWorker, cpuMillicores: number): void {
    worker.cpuMillicores = cpuMillicores;
    worker.resizedMs = performance.now();
    this.registerWorker(worker);
  }

  private registerWorker(worker: FleetWorker): void {
    const {dataCentre, service, labels} = simpleWorker(worker.id);
    this.put(`servers/${worker.id}`, {
      service,
      address: worker.address,
      zone: dataCentre,
      state: 'ready',
      capacity: {cpu: worker.cpuMillicores, memoryRequestMb: 16_000, gpu: 0},
      labels,
      born: worker.standIn.bornMs,
    });
  }

  /** Counts the start of a crashing task, and crashes its worker soon after. */
  private recordCrashingStart(worker: FleetWorker, task: string): void {
    const crashes = this.crashes.get(task) ?? 0;
    if (this.crashLimit.isExceededBy(task, crashes)) {
      this.violations.push(`${task} started again after ${crashes} crashes`);
    }
    setTimeout(() => void this.crashWorker(worker, task), CRASH_DELAY_MS);
  }

  /** Crashes a worker; every other time it returns under another id. */
  private async crashWorker(worker: FleetWorker, task: string): Promise<void> {
    if (worker.isDown || this.isStopped) return;
    worker.isDown = true;
    this.crashes.set(task, (this.crashes.get(task) ?? 0) + 1);
    worker.standIn.crash();
    await sleep(CRASH_DOWN_MS);
    if (this.isStopped) return;
    const {id} = worker;
    const isRenamed = worker.standIn.bornMs % 2 === 1;
    if (isRenamed) worker.id = `${id}x`;
    await worker.standIn.recover(worker.id);
    worker.isDown = false;
    if (isRenamed) this.store.store.remove(`servers/${id}`);
    this.registerWorker(worker);
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
    if (workers.size > 0) this.violations.push(`${task} run ${run} overlaps`);
    if ((this.acknowledgedRuns.get(task) ?? Infinity) < run) {
      const acknowledgedRun = this.acknowledgedRuns.get(task);
      this.violations.push(
        `${task} run ${run} started on ${workerId} after run ${acknowledgedRun} ended successfully`,
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
      ...(this.options.door ? {door: this.options.door} : {}),
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const {descriptorLimit, heapLimitMb} = this.options;
    const process = new ManagedProcess({
      name,
      descriptorLimit,
      nodeArguments:
        heapLimitMb === undefined
          ? []
          : [`--max-old-space-size=${heapLimitMb}`],
      script: 'build/src/node/banyanmux_node.js',
      arguments: ['--settings', settingsFile],
      logFile,
    });
    process.start();
    this.nodes.push({
      process,
      callersPort: callersPort!,
      linksPort: linksPort!,
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
