import {call, sleep} from './http.js';
import {
  Ending,
  ExecutorOptions,
  ExecutorStandIn,
  RunName,
  RunObserver,
} from './executor.js';
import {GangHall} from './gang_hall.js';
import {Node, Nodes} from './nodes.js';
import {Record} from './record.js';
import {StoreOptions, StoreStandIn} from './store.js';

/** Step of a job as clients send it. */
export interface Step {
  count: number;
  cpu: number;
  memoryRequestMb: number;
  estimatedMs: number;
  longRunning?: boolean;
  after?: number[];
  checkpoints?: boolean;
  gang?: boolean;
}

/** When the steps of a job run, if more than once. */
export interface Schedule {
  repetitions: number;
  firstRunMs: number;
  intervalMs: number;
}

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  record: Record;
  nodes: number;
  executors: number;
  cpu: number;
  memoryMb: number;
  /** Returns how a run ends; undefined if it lasts. */
  endingOf: (run: RunName) => Ending | undefined;
  observer: RunObserver;
  maxAttempts?: number;
  store?: StoreOptions;
  /** Time in s for which a state is kept (`status_s`). @default 120 */
  keepFinishedSeconds?: number;
  /** Delay in ms between nodes and executors, one way. @default 0 */
  executorDelayMs?: number;
  /** Whether tasks save their progress. @default false */
  saves?: boolean;
  /** Time in ms that each gang works; all tasks are of gangs then. */
  gangWorkMs?: number;
}

/** Time in ms after which the entry of a silent executor ends. */
const ENTRY_ENDS_MS = 3300;

const SERVICE = 'portail-membres';
const HOST = 'jobs.example';
const PREFIX = '/q1/';

/** A small deployment: store, executors and nodes. */
export class Deployment {
  readonly store: StoreStandIn;
  readonly executors: ExecutorStandIn[] = [];
  readonly nodes: Nodes;
  private readonly stepsByJob = new Map<string, Step[]>();
  private readonly gangs: GangHall | undefined;
  private readonly zones = ['limoilou', 'sainte-foy', 'levis'];

  constructor(private readonly options: DeploymentOptions) {
    this.store = new StoreStandIn(options.store);
    const {gangWorkMs, record} = options;
    if (gangWorkMs !== undefined) {
      this.gangs = new GangHall({
        record,
        workMs: gangWorkMs,
        sizeOf: (task) => this.stepOf(task)?.count ?? 0,
      });
    }
    this.nodes = new Nodes({
      count: options.nodes,
      keepFinishedSeconds: options.keepFinishedSeconds,
      record: options.record,
      storePort: () => this.store.port,
    });
  }

  async start(): Promise<void> {
    await this.store.start();
    this.store.put('op/config', this.configuration());
    for (let number = 0; number < this.options.executors; number++) {
      const executor = new ExecutorStandIn(this.executorOptions(number));
      this.executors.push(executor);
      await executor.start();
      this.register(executor);
    }
    await this.nodes.start();
  }

  /** Writes the entry of an executor to the store. */
  register(executor: ExecutorStandIn): void {
    const zone = this.zones[this.executors.indexOf(executor) % 3]!;
    this.store.put(`servers/${executor.id}`, executor.entry(SERVICE, zone));
  }

  /**
   * Crashes an executor for good. Its entry ends with its silence; after a time
   * in ms, another executor comes at its address.
   */
  async lose(executor: ExecutorStandIn, addressFreeMs: number): Promise<void> {
    const {id} = executor;
    executor.crash();
    await sleep(Math.min(addressFreeMs, ENTRY_ENDS_MS));
    this.store.remove(`servers/${id}`);
    await sleep(Math.max(0, addressFreeMs - ENTRY_ENDS_MS));
    await executor.restart();
    this.register(executor);
  }

  /** Crashes an executor, and starts its next life after a time in ms. */
  async crash(executor: ExecutorStandIn, downMs: number): Promise<void> {
    const {id} = executor;
    executor.crash();
    await sleep(downMs);
    await executor.restart();
    this.store.remove(`servers/${id}`);
    this.register(executor);
  }

  async stop(): Promise<void> {
    await this.nodes.stop();
    for (const executor of this.executors) executor.stop();
    this.store.stop();
  }

  /** Hands a job in, at other nodes until it is answered for good. */
  async submit(
    id: string,
    steps: Step[],
    schedule?: Schedule,
  ): Promise<boolean> {
    this.stepsByJob.set(id, steps);
    const body = {specification: `spec ${id}`, steps, ...schedule};
    for (let attempt = 0; attempt < 20; attempt++) {
      const node = this.nodeFor(attempt);
      const {status} = await this.ask(node, 'POST', id, body);
      if (status === 200) {
        this.options.record.add(`job ${id} accepted by ${node.name}`);
        return true;
      }
      this.options.record.add(`job ${id}: status ${status} by ${node.name}`);
      await sleep(200);
    }
    return false;
  }

  /** Returns the state of a job, asked at other nodes until one answers. */
  async stateOf(id: string): Promise<string> {
    let last = '';
    for (let attempt = 0; attempt < 6; attempt++) {
      const node = this.nodeFor(attempt);
      const {status, body} = await this.ask(node, 'GET', id);
      if (status === 200) return String(body.state);
      last = `status ${status}`;
      await sleep(200);
    }
    return last;
  }

  ask(
    node: Node,
    method: string,
    id: string,
    body?: unknown,
  ): Promise<{status: number; body: {[key: string]: unknown}}> {
    return call(
      {
        port: node.callersPort,
        method,
        path: `${PREFIX}${id}`,
        headers: {host: HOST, 'deadline-milliseconds': '3000'},
      },
      body,
    );
  }

  /** What a task takes of the capacity of its executor. */
  needsOf(task: string): {cpu: number; memoryMb: number} {
    const found = this.stepOf(task);
    return {
      cpu: found?.cpu ?? 0,
      memoryMb: found?.memoryRequestMb ?? 0,
    };
  }

  private stepOf(task: string): Step | undefined {
    const [id, , step] = task.split('.');
    return this.stepsByJob.get(id!)?.[Number(step)];
  }

  private nodeFor(attempt: number): Node {
    const nodes = this.nodes.all;
    return nodes[(this.next++ + attempt) % nodes.length]!;
  }

  private next = 0;

  private executorOptions(number: number): ExecutorOptions {
    const {record, observer, endingOf, cpu, memoryMb} = this.options;
    return {
      id: `i-7f3a91c${number + 1}`,
      rack: `r${Math.floor(number / 4) + 1}`,
      cpu,
      memoryMb,
      record,
      observer,
      endingOf,
      needsOf: (task) => this.needsOf(task),
      gangs: this.gangs,
      saves: this.options.saves,
      delayMs: this.options.executorDelayMs,
    };
  }

  private configuration(): object {
    return {
      version: 1,
      routes: [
        {
          name: 'q1',
          host: HOST,
          prefix: PREFIX,
          service: SERVICE,
          priority: 0,
          maxAttempts: this.options.maxAttempts ?? 3,
          stretch: 2,
          targetLatencyMs: 1000,
          timeoutMs: 3000,
        },
      ],
      services: [{name: SERVICE, admissionCheck: true}],
      limits: {maxBodyBytes: 262_144},
    };
  }
}

/** Returns the id of a job: 16 hexadecimal digits. */
export function jobId(number: number): string {
  return (0xabc0_0000_0000 + number).toString(16).padStart(16, '5');
}
