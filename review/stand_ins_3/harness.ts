import {ChildProcess, spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {ExecutorEvent} from './executor.js';
import {Store} from './store.js';

/**
 * Exit statuses of the programs; run.sh turns BROKEN into 1 and all others but 0
 * into 2, since Node.js exits with 1 after an unexpected error.
 */
export const Verdict = {HELD: 0, BROKEN: 41, NOT_RUN: 2} as const;

/** One of the values of {@link Verdict}. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Whether the script runs with its disruption. */
export const isTroubled = process.env['TROUBLE'] !== '0';

const HOST = 'host-1.example';
const PREFIX = '/route-1/';
const SERVICE = 'service-1';

/** Longest time in ms of a whole script. */
const LONGEST_MS = 110_000;

/** Time in ms after which a client takes a call for unanswered. */
const LONGEST_CALL_MS = 3500;

const STAND_INS = dirname(fileURLToPath(import.meta.url));

/** Answer to a call of a client; status 0 if there was none. */
export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** An executor in a process of its own. */
export interface ExecutorProcess {
  id: string;
  port: number;
  child: ChildProcess | undefined;
}

/** Where and how a client calls. */
interface ClientCall {
  method: string;
  port: number;
  path: string;
  /** Time in ms after which the client leaves. */
  leavesAfterMs: number;
}

interface NodeProgram {
  name: string;
  callersPort: number;
  child: ChildProcess;
}

/** Waits for a time in ms. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * A small deployment on loopback addresses: the store and the operator in this
 * process, the project's nodes and the executors in processes of their own.
 */
export class Harness {
  readonly store = new Store();
  readonly executors: ExecutorProcess[] = [];
  /** Called with each event of an executor. */
  onEvent: (event: ExecutorEvent) => void = () => undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'banyanmux-review-'));
  private readonly nodes: NodeProgram[] = [];
  private readonly startMs = performance.now();
  private storePort = 0;

  /** @param recordFile - File to which all that happens is written. */
  constructor(private readonly recordFile: string) {
    writeFileSync(recordFile, `trouble: ${isTroubled ? 'yes' : 'no'}\n`);
  }

  /** Writes a line to the record. */
  record(text: string): void {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds.padStart(8)} ${text}\n`);
  }

  /** Records an event of an executor and passes it on. */
  handleEvent(event: ExecutorEvent): void {
    const {what, executor, labels, task, run, how = ''} = event;
    this.record(`${what} ${task} run ${run} on ${executor} (${labels}) ${how}`);
    this.onEvent(event);
  }

  /** Starts the store, the configuration and the nodes. */
  async start(options: {nodes: number; maxAttempts: number}): Promise<void> {
    [this.storePort] = (await freePorts(1)) as [number];
    await this.store.listen(this.storePort);
    this.store.put('op/config', {
      version: 1,
      routes: [
        {
          name: 'queue-1',
          host: HOST,
          prefix: PREFIX,
          service: SERVICE,
          priority: 0,
          maxAttempts: options.maxAttempts,
          stretch: 1.5,
          targetLatencyMs: 300,
          timeoutMs: 3000,
        },
      ],
      services: [{name: SERVICE, admissionCheck: true}],
      limits: {maxBodyBytes: 262_144},
    });
    for (let number = 1; number <= options.nodes; number++) {
      await this.startNode(`frontend-zone-1-${number}`);
    }
  }

  /** Starts an executor in a process of its own. */
  async startExecutor(
    id: string,
    options: {labels: string[]; cpu?: number},
  ): Promise<ExecutorProcess> {
    const [port] = (await freePorts(1)) as [number];
    const executor: ExecutorProcess = {id, port, child: undefined};
    this.executors.push(executor);
    this.runExecutor(executor, options);
    return executor;
  }

  /** Starts the process of an executor, the first or a later one. */
  runExecutor(
    executor: ExecutorProcess,
    options: {labels: string[]; cpu?: number},
  ): void {
    const {id, port} = executor;
    const {storePort} = this;
    const argument = {id, port, storePort, cpu: 16_000, ...options};
    const child = spawn(
      process.execPath,
      [join(STAND_INS, 'executor_main.js'), JSON.stringify(argument)],
      {stdio: ['pipe', 'pipe', 'inherit']},
    );
    executor.child = child;
    let text = '';
    child.stdout.on('data', (chunk: Buffer) => {
      const lines = (text + chunk.toString()).split('\n');
      text = lines.pop()!;
      for (const line of lines) {
        this.handleEvent(JSON.parse(line) as ExecutorEvent);
      }
    });
    this.record(`executor ${id} starts, labels ${options.labels.join(',')}`);
  }

  /** Crashes an executor. */
  async crash(executor: ExecutorProcess): Promise<void> {
    const {child, id} = executor;
    if (!child) return;
    const hasEnded = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await hasEnded;
    executor.child = undefined;
    this.record(`executor ${id} crashes`);
  }

  /** Waits until a node answers calls about jobs; throws if none does. */
  async waitUntilReady(): Promise<void> {
    for (let attempt = 0; attempt < 200; attempt++) {
      const {status, body} = await this.call('GET', '');
      if (status === 200 && typeof body['pending'] === 'number') return;
      await sleep(100);
    }
    throw new Error('Cannot use the deployment: it did not become ready');
  }

  /** Submits a job; returns whether it was accepted. */
  async submit(id: string, steps: object[], work: object): Promise<boolean> {
    const body = {specification: JSON.stringify(work), steps};
    const {status} = await this.call('POST', id, body);
    return status >= 200 && status < 300;
  }

  /** Returns the state of a job that a client is shown. */
  async stateOf(id: string): Promise<string> {
    const {status, body} = await this.call('GET', id);
    return status === 200 ? String(body['state']) : `status ${status}`;
  }

  /** Waits until a client is shown a final state; returns the last one shown. */
  async waitForEnd(id: string, limitMs: number): Promise<string> {
    const endsMs = performance.now() + limitMs;
    let state = '';
    while (performance.now() < endsMs) {
      state = await this.stateOf(id);
      if (['succeeded', 'failed', 'cancelled'].includes(state)) break;
      await sleep(250);
    }
    return state;
  }

  /**
   * Sends a call of a client.
   *
   * @param options.node - Number of the node. @default 0, the first
   * @param options.leavesAfterMs - Time in ms after which the client leaves.
   */
  async call(
    method: string,
    id: string,
    body?: object,
    options: {node?: number; leavesAfterMs?: number} = {},
  ): Promise<Answer> {
    const {node = 0, leavesAfterMs = LONGEST_CALL_MS} = options;
    const port = this.nodes[node]!.callersPort;
    const path = PREFIX + id;
    const answer = await callHttp({method, port, path, leavesAfterMs}, body);
    const text = JSON.stringify(answer.body);
    if (id !== '') this.record(`${method} ${id}: ${answer.status} ${text}`);
    return answer;
  }

  /** Ends all processes that were started. */
  stop(): void {
    for (const {child} of [...this.executors, ...this.nodes]) {
      child?.kill('SIGKILL');
    }
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async startNode(name: string): Promise<void> {
    const [callers, links, readiness, metrics] = (await freePorts(4)) as [
      number,
      number,
      number,
      number,
    ];
    // As the platform fills in deploy/node_settings.jsonc.
    const settings = {
      node: name,
      dataCentre: 'zone-1',
      region: 'region-1',
      callers: `127.0.0.1:${callers}`,
      links: `127.0.0.1:${links}`,
      readiness: `127.0.0.1:${readiness}`,
      metrics: `127.0.0.1:${metrics}`,
      store: {address: `127.0.0.1:${this.storePort}`},
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
    const settingsFile = join(this.folder, `${name}.jsonc`);
    writeFileSync(settingsFile, JSON.stringify(settings));
    const logFile = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(
      'node',
      [
        '--max-old-space-size=200',
        'target/src/node/banyanmux_node.js',
        '--settings',
        settingsFile,
      ],
      {stdio: ['ignore', logFile, logFile]},
    );
    this.nodes.push({name, callersPort: callers, child});
  }
}

/**
 * Runs a script and exits with its verdict; 2 if it could not run. `check` gets
 * a deployment that is not started yet.
 */
export async function runCase(
  recordFile: string,
  check: (harness: Harness) => Promise<Verdict>,
): Promise<void> {
  const harness = new Harness(recordFile);
  const limit = sleep(LONGEST_MS).then(() => {
    throw new Error(`Cannot finish within ${LONGEST_MS} ms`);
  });
  let verdict: Verdict = Verdict.NOT_RUN;
  try {
    verdict = await Promise.race([check(harness), limit]);
  } catch (error) {
    harness.record(`could not run: ${(error as Error).message}`);
  }
  harness.record(`exit status ${verdict}`);
  harness.stop();
  process.exit(verdict);
}

function callHttp(
  {method, port, path, leavesAfterMs}: ClientCall,
  body?: object,
): Promise<Answer> {
  return new Promise((resolve) => {
    const none = {status: 0, body: {}};
    const call = request(
      {
        host: '127.0.0.1',
        port,
        path,
        method,
        headers: {
          host: HOST,
          'content-type': 'application/json',
          'deadline-milliseconds': '3000',
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => resolve(none));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          const parsed = text === '' ? {} : (JSON.parse(text) as object);
          const status = response.statusCode ?? 0;
          resolve({status, body: parsed as Record<string, unknown>});
        });
      },
    );
    const timer = setTimeout(() => call.destroy(), leavesAfterMs);
    call.on('close', () => clearTimeout(timer));
    call.on('error', () => resolve(none));
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/**
 * Lowest port that is tried, and number of ports: below the range from which
 * outgoing connections are served, which could take a port before its program.
 */
const LOWEST_PORT = 10_000;
const PORT_COUNT = 22_000;

let nextPort = (process.pid * 397) % PORT_COUNT;

/** Finds TCP ports of 127.0.0.1 that are free now. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = LOWEST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
