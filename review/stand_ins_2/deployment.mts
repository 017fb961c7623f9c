import {ChildProcess, spawn} from 'node:child_process';
import {
  appendFileSync,
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';

import {FaultyLink} from '../../testing/faulty_link.js';
import {freePorts} from '../../testing/free_ports.js';
import {StoreStandIn} from '../../testing/store_stand_in.js';
import {Executor, ExecutorOptions, GangTable} from './executor.mjs';

/** A route of the configuration, as the operator writes it. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  service: string;
  priority: number;
  maxAttempts: number;
  stretch: number;
  targetLatencyMs: number;
  timeoutMs: number;
  /** Advice that starts on this queue need. @default none */
  advice?: {decisionMs: number; periodMs: number; validityMs: number};
}

/** Options of {@link Deployment}. */
export interface DeploymentOptions extends Pick<
  ExecutorOptions,
  | 'behaviorOf'
  | 'sizeOf'
  | 'ticketOf'
  | 'lateMs'
  | 'reportDelayMs'
  | 'onStartArrived'
> {
  /** File to which everything is written that is sent, answered and run. */
  recordFile: string;
  /** Number of nodes. @default 3 */
  nodes?: number;
  /** Number of executors. @default 8 */
  executors?: number;
  routes: readonly Route[];
  /** Address of the advice service. @default none */
  advice?: string;
}

/** What is written about one event. */
export interface RecordedEvent {
  atMs: number;
  event: string;
  details: Record<string, unknown>;
}

/** Response to a client; status 0 means none. */
export interface Reply {
  status: number;
  body: {state?: string; pending?: number};
}

/** A node of the system, which runs the program of the deploy file. */
export interface Node {
  name: string;
  child: ChildProcess | undefined;
  frontend: string;
  ready: string;
  settingsFile: string;
  logFile: string;
  /** Link of this node to the store. */
  storeLink: FaultyLink;
}

/** Service of all executors. */
export const SERVICE = 'render';

/** Host of all routes. */
export const HOST = 'jobs.example';

/** Program and arguments of `run` in the deploy file. */
const NODE_COMMAND = [
  '--max-old-space-size=200',
  'target/src/node/banyanmux_node.js',
];

/** CPU in millicores and memory in MB of an executor. */
const EXECUTOR_SIZE = {cpu: 16_000, memoryMb: 62_500};

/** A small deployment: nodes as processes, store and executors in this one. */
export class Deployment {
  readonly store = new StoreStandIn();
  readonly executors: Executor[] = [];
  readonly events: RecordedEvent[] = [];
  readonly nodes: Node[] = [];
  private readonly gangs: GangTable = new Map();
  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly startedMs = performance.now();
  private version = 0;
  private nextNode = 0;

  constructor(private readonly options: DeploymentOptions) {
    writeFileSync(options.recordFile, '');
  }

  /** Writes an event to the record. */
  readonly record = (
    event: string,
    details: Record<string, unknown> = {},
  ): void => {
    const atMs = Math.round(performance.now() - this.startedMs);
    this.events.push({atMs, event, details});
    appendFileSync(
      this.options.recordFile,
      `${atMs} ${event} ${JSON.stringify(details)}\n`,
    );
  };

  /** Starts everything; resolves when all nodes are ready. */
  async start(): Promise<void> {
    const {nodes = 3, executors = 8, routes} = this.options;
    const [storePort] = await freePorts(1);
    await this.store.listen(storePort!);
    this.configure(routes);
    const ports = await freePorts(executors);
    for (const [index, port] of ports.entries()) {
      const executor = new Executor({
        ...this.options,
        ...EXECUTOR_SIZE,
        store: this.store,
        port,
        service: SERVICE,
        zone: 'levis',
        rack: `r${index % 2}`,
        kind: index % 4 === 3 ? 'b' : 'a',
        gangs: this.gangs,
        record: this.record,
      });
      this.executors.push(executor);
      await executor.start();
    }
    for (let number = 1; number <= nodes; number++) {
      await this.startNode(`node-${number}`, storePort!);
    }
    for (const node of this.nodes) await this.waitUntilReady(node);
    await pause(2000);
    this.record('ready');
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => this.kill(node)));
    await Promise.all(this.nodes.map(({storeLink}) => storeLink.stop()));
    for (const executor of this.executors) executor.close();
    this.store.stop();
    if (process.env.KEEP_LOGS !== undefined) {
      process.stdout.write(`${this.folder}\n`);
    } else rmSync(this.folder, {recursive: true});
  }

  /** Writes the next version of the configuration, as the operator does. */
  configure(routes: readonly Route[]): void {
    this.version += 1;
    const configuration = {
      version: this.version,
      routes,
      services: [{name: SERVICE, admissionCheck: true}],
      limits: {maxBodyBytes: 262_144},
    };
    const value = Buffer.from(JSON.stringify(configuration));
    this.store.store.put('op/config', value);
    const names = routes.map(({name}) => name);
    this.record('configuration', {version: this.version, routes: names});
  }

  /** Sends a request of a client, each time to the next node. */
  async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: object,
  ): Promise<Reply> {
    const node = this.nodes[this.nextNode++ % this.nodes.length]!;
    const reply = await send(`http://${node.frontend}${path}`, method, body);
    this.record('call', {method, path, node: node.name, ...reply});
    return reply;
  }

  private async startNode(name: string, storePort: number): Promise<void> {
    const ports = await freePorts(4);
    const [frontend, links, ready, metrics] = ports.map(
      (port) => `127.0.0.1:${port}`,
    );
    const storeLink = new FaultyLink({targetPort: storePort});
    const storeLinkPort = await storeLink.listen();
    const settingsFile = join(this.folder, `${name}.jsonc`);
    const settings = {
      node: name,
      dataCentre: 'levis',
      region: 'quebec-capitale',
      callers: frontend,
      links,
      readiness: ready,
      metrics,
      store: {address: `127.0.0.1:${storeLinkPort}`},
      ...(this.options.advice ? {advice: {address: this.options.advice}} : {}),
      processor: {share: 0.675, speed: 1},
      workers: {longestLeaseMs: 6000, drainNoticeMs: 2000},
      scheduling: {
        order: 'learned-deadline',
        urgentPasses: true,
        lookAhead: true,
        adaptiveStarts: true,
      },
      jobs: {keepFinishedSeconds: 120},
      stop: {gracePeriodSeconds: 6},
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const node: Node = {
      name,
      child: undefined,
      frontend: frontend!,
      ready: ready!,
      settingsFile,
      logFile: join(this.folder, `${name}.log`),
      storeLink,
    };
    this.nodes.push(node);
    this.startProcess(node);
  }

  /** Starts the process of a node with the command of the deploy file. */
  startProcess(node: Node): void {
    const log = openSync(node.logFile, 'a');
    node.child = spawn(
      process.execPath,
      [...NODE_COMMAND, '--settings', node.settingsFile],
      {stdio: ['ignore', log, log]},
    );
    closeSync(log);
    this.record('node-start', {node: node.name});
  }

  /** The node that took ownership last, by its log. */
  get owner(): Node {
    const atMs = ({logFile}: Node): number => {
      const lines = readFileSync(logFile, 'utf8').split('\n');
      const line = lines.findLast((text) =>
        text.includes('orchestrator-start'),
      );
      if (!line) return -1;
      return Date.parse((JSON.parse(line) as {time: string}).time);
    };
    return this.nodes.reduce((last, node) =>
      atMs(node) > atMs(last) ? node : last,
    );
  }

  /** Ends the process of a node with SIGKILL. */
  async kill({child, name}: Node): Promise<void> {
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await exited;
    this.record('node-kill', {node: name});
  }

  private async waitUntilReady({name, ready}: Node): Promise<void> {
    for (let round = 0; round < 300; round++) {
      const {status} = await send(`http://${ready}/api/readiness`, 'GET');
      if (status === 200) return;
      await pause(50);
    }
    throw new Error(`Cannot use ${name}: it did not become ready`);
  }
}

/** Waits for a time in ms. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Runs a scenario: exit status 1 if the rule was broken, 2 on an error. */
export async function runCase(
  deployment: Deployment,
  scenario: () => Promise<string | undefined>,
): Promise<void> {
  let status = 2;
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      void deployment.stop().finally(() => process.exit(2));
    });
  }
  try {
    await deployment.start();
    const breach = await scenario();
    deployment.record(breach === undefined ? 'held' : 'broken', {breach});
    process.stdout.write(`${breach ?? 'the rule held'}\n`);
    status = breach === undefined ? 0 : 1;
  } catch (error) {
    process.stdout.write(`could not run: ${(error as Error).stack}\n`);
  } finally {
    await deployment.stop();
  }
  process.exit(status);
}

async function send(
  url: string,
  method: 'GET' | 'POST' | 'DELETE',
  body?: object,
): Promise<Reply> {
  try {
    const answer = await request(url, {
      method,
      headers: {
        host: HOST,
        'content-type': 'application/json',
        'deadline-milliseconds': '3000',
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: 3000,
      bodyTimeout: 3000,
    });
    const text = await answer.body.text();
    return {
      status: answer.statusCode,
      body: (text === '' ? {} : JSON.parse(text)) as Reply['body'],
    };
  } catch {
    return {status: 0, body: {}};
  }
}
