import {ChildProcess, spawn} from 'node:child_process';
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {call, freePorts, sleep} from './http.js';
import {Record} from './record.js';

/** Options of {@link Nodes}. */
export interface NodesOptions {
  count: number;
  record: Record;
  /** Port of the store, by number of the node. */
  storePort: (node: number) => number;
  /** Time in s for which a state is kept (`status_s`). @default 120 */
  keepFinishedSeconds?: number;
}

/** Program and arguments of `run` in deploy/system.toml, without settings. */
const COMMAND = [
  '--max-old-space-size=200',
  'target/src/node/banyanmux_node.js',
  '--settings',
];

/** One node program. */
export interface Node {
  name: string;
  callersPort: number;
  readinessPort: number;
  settingsFile: string;
  logFile: string;
  child: ChildProcess | undefined;
}

/** Runs the node program as separate processes. */
export class Nodes {
  readonly all: Node[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private isStopped = false;

  constructor(private readonly options: NodesOptions) {
    // A script that is ended from outside ends its programs, too.
    process.once('SIGTERM', () => process.exit(2));
    process.once('SIGINT', () => process.exit(2));
    process.once('exit', () => {
      for (const {child} of this.all) child?.kill('SIGKILL');
    });
  }

  /** Starts all nodes and waits until they are ready. */
  async start(): Promise<void> {
    const zones = ['limoilou', 'sainte-foy', 'levis'];
    for (let number = 0; number < this.options.count; number++) {
      const zone = zones[number % zones.length]!;
      this.all.push(await this.create(number, zone));
    }
    for (const node of this.all) this.launch(node);
    await this.waitUntilReady();
  }

  /** Waits until all nodes say that they are ready. */
  async waitUntilReady(): Promise<void> {
    for (let round = 0; round < 300; round++) {
      const states = await Promise.all(
        this.all.map(({readinessPort}) =>
          call({port: readinessPort, method: 'GET', path: '/api/readiness'}),
        ),
      );
      if (states.every(({status}) => status === 200)) return;
      await sleep(50);
    }
    throw new Error('the nodes did not become ready');
  }

  /** Kills a node with SIGKILL. */
  async kill(node: Node): Promise<void> {
    const {child} = node;
    if (!child) return;
    this.options.record.add(`SIGKILL to ${node.name}`);
    node.child = undefined;
    child.removeAllListeners('exit');
    const exited = new Promise<void>((resolve) =>
      child.once('exit', () => resolve()),
    );
    child.kill('SIGKILL');
    await exited;
  }

  /** Starts a node; a program that ends by itself is started again. */
  launch(node: Node): void {
    const file = openSync(node.logFile, 'a');
    const child = spawn(process.execPath, [...COMMAND, node.settingsFile], {
      stdio: ['ignore', file, file],
      env: {PATH: process.env.PATH, HOME: process.env.HOME},
    });
    closeSync(file);
    node.child = child;
    this.options.record.add(`${node.name} is started`);
    child.once('exit', (code, signal) => {
      if (this.isStopped || node.child !== child) return;
      this.options.record.add(
        `${node.name} ended by itself: status ${code}, signal ${signal}`,
      );
      this.ownExits.push(node.name);
      node.child = undefined;
      setTimeout(() => {
        if (!this.isStopped && !node.child) this.launch(node);
      }, 500);
    });
  }

  /** Names of nodes that ended by themselves, once for each time. */
  readonly ownExits: string[] = [];

  /** Ends all processes. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const node of this.all) await this.kill(node);
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, {recursive: true});
    } else this.options.record.add(`logs in ${this.folder}`);
  }

  /** Node that began a term last, according to the logs. */
  owner(): Node {
    let latest = this.all[0]!;
    let latestTime = '';
    for (const node of this.all) {
      for (const line of readFileSync(node.logFile, 'utf8').split('\n')) {
        if (!line.includes('orchestrator-start')) continue;
        const {time} = JSON.parse(line) as {time: string};
        if (time > latestTime) [latest, latestTime] = [node, time];
      }
    }
    return latest;
  }

  private async create(number: number, zone: string): Promise<Node> {
    const [callers, links, readiness, metrics] = await freePorts(4);
    const name = `frontend-${zone}-${number + 1}`;
    const settingsFile = join(this.folder, `${name}.jsonc`);
    const settings = {
      node: name,
      dataCentre: zone,
      region: 'quebec-capitale',
      callers: `127.0.0.1:${callers}`,
      links: `127.0.0.1:${links}`,
      readiness: `127.0.0.1:${readiness}`,
      metrics: `127.0.0.1:${metrics}`,
      store: {address: `127.0.0.1:${this.options.storePort(number)}`},
      processor: {share: 0.675, speed: 1},
      workers: {longestLeaseMs: 6000, drainNoticeMs: 2000},
      jobs: {keepFinishedSeconds: this.options.keepFinishedSeconds ?? 120},
      stop: {gracePeriodSeconds: 6},
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    return {
      name,
      callersPort: callers!,
      readinessPort: readiness!,
      settingsFile,
      logFile: join(this.folder, `${name}.log`),
      child: undefined,
    };
  }
}
