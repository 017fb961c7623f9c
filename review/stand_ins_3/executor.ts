import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

import {readBody, send} from './store.js';

/** Options of {@link Executor}. */
export interface ExecutorOptions {
  id: string;
  port: number;
  /** Kind and rack. */
  labels: readonly string[];
  /** Capacity in thousandths of a core. */
  cpu: number;
  /** Writes the entry of the executor to the store. */
  register: (key: string, value: unknown) => Promise<void> | void;
  /** Called with each start and end of a run. */
  onEvent: (event: ExecutorEvent) => void;
  /** Joins the members of gangs of all executors. @default no gangs run */
  gangs?: GangTable;
}

/** Something that happened on an executor. */
export interface ExecutorEvent {
  what: 'start' | 'end' | 'noted';
  executor: string;
  labels: string;
  task: string;
  run: number;
  /** How the run has ended. */
  how?: string;
}

/** A run on an executor; times are on its clock. */
export interface Run {
  task: string;
  run: number;
  specification: string;
  startedMs: number;
  stopsMs: number;
  /** Ends the run. */
  end: (how: string) => void;
}

/** Knows the members of gangs on all executors. */
export interface GangTable {
  /** Whether a specification is that of a gang. */
  isGang(specification: string): boolean;
  /** Adds a member that has started. */
  add(run: Run): void;
}

/** What a client's specification asks of the stand-in. */
export interface Work {
  /** Duration of a task in ms. */
  workMs: number;
}

type Fields = Record<string, unknown>;

/** Bounds of the site files. */
const MAX_HOLD_MS = 6000;
const HEARTBEAT_MS = 1100;
const LONGEST_WAIT_MS = 2000;
const STOP_MS = 50;
const ENDS_PER_ANSWER = 500;

const TICK_MS = 10;

/** Sound stand-in for an executor whose orders come by invocation. */
export class Executor {
  private readonly server: Server;
  private readonly born = Date.now();
  private readonly bootMs = performance.now();
  private readonly runs = new Map<string, Run>();
  private readonly highestEnded = new Map<string, number>();
  private readonly waiting = new Set<() => void>();
  private readonly timers: NodeJS.Timeout[] = [];
  private ends: Array<[number, string, number, string, string]> = [];
  private nextEnd = 1;
  private fence = 0;
  private leaseMs = 0;
  private sequence = 0;

  constructor(private readonly options: ExecutorOptions) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  /** Starts to listen and to register. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.server.listen(this.options.port, '127.0.0.1', resolve),
    );
    this.timers.push(setInterval(() => this.tick(), TICK_MS));
    this.register();
    this.timers.push(setInterval(() => this.register(), HEARTBEAT_MS));
  }

  /** Ends the executor. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private get clockMs(): number {
    return Math.floor(performance.now() - this.bootMs);
  }

  private register(): void {
    const {id, port, labels, cpu, register} = this.options;
    this.sequence += 1;
    const entry = {
      service: 'service-1',
      address: `127.0.0.1:${port}`,
      zone: 'zone-1',
      version: '1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
      capacity: {cpu, memoryRequestMb: 64_000, gpu: 0},
      labels,
      born: this.born,
    };
    void register(`servers/${id}`, entry);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readBody(request)) as Fields;
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      this.answer(response, 421);
      return;
    }
    const token = Number(body['fencingToken'] ?? 0);
    if (token < this.fence) {
      this.answer(response, 409, {reason: 'fence'});
      return;
    }
    this.fence = token;
    if (request.url === '/api/run-start') this.startRun(body, response);
    else if (request.url === '/api/run-stop') this.stopRun(body, response);
    else if (request.url === '/api/hold') await this.hold(body, response);
    else if (request.url === '/api/pace') this.answer(response, 200);
    else this.answer(response, 404);
  }

  private answer(
    response: ServerResponse,
    status: number,
    body: object = {},
  ): void {
    send(response, status, {clockMs: this.clockMs, born: this.born, ...body});
  }

  private extendLease(deadlineMs: unknown): void {
    if (typeof deadlineMs !== 'number') return;
    const limitMs = Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS);
    this.leaseMs = Math.max(this.leaseMs, limitMs);
  }

  private startRun(body: Fields, response: ServerResponse): void {
    const task = String(body['task']);
    const run = Number(body['run']);
    const present = this.runs.get(task);
    if (present?.run === run) {
      this.answer(response, 200);
      return;
    }
    if (Number(body['deadlineMs']) <= this.clockMs) {
      this.answer(response, 409, {reason: 'late'});
      return;
    }
    this.extendLease(body['deadlineMs']);
    if (present || run <= (this.highestEnded.get(task) ?? 0)) {
      this.answer(response, 409, {reason: 'old'});
      return;
    }
    const started: Run = {
      task,
      run,
      specification: String(body['specification']),
      startedMs: this.clockMs,
      stopsMs: Infinity,
      end: (how) => this.endRun(started, how),
    };
    this.runs.set(task, started);
    this.emit('start', started);
    const {gangs} = this.options;
    if (gangs?.isGang(started.specification)) gangs.add(started);
    this.answer(response, 200);
  }

  private stopRun(body: Fields, response: ServerResponse): void {
    const task = String(body['task']);
    const run = Number(body['run']);
    const present = this.runs.get(task);
    if (present?.run === run) present.stopsMs = this.clockMs + STOP_MS;
    else this.noteEnded(task, run);
    this.answer(response, 200);
  }

  private async hold(body: Fields, response: ServerResponse): Promise<void> {
    this.extendLease(body['deadlineMs']);
    this.forgetEnds(Number(body['lastSeen'] ?? 0));
    const waitMs = Math.min(LONGEST_WAIT_MS, Number(body['waitMs'] ?? 0));
    if (waitMs > 0 && this.ends.length === 0) await this.nextEndWithin(waitMs);
    const running = [...this.runs.values()].map((run) => [
      run.task,
      run.run,
      '',
      this.percentOf(run),
      0,
    ]);
    const ended = this.ends.slice(0, ENDS_PER_ANSWER);
    this.answer(response, 200, {running, ended});
  }

  /** Forgets the ends that the system has taken note of. */
  private forgetEnds(seen: number): void {
    const {id, labels, onEvent} = this.options;
    for (const [number, task, run, how] of this.ends) {
      if (number > seen) continue;
      const kind = labels.join(',');
      onEvent({what: 'noted', executor: id, labels: kind, task, run, how});
    }
    this.ends = this.ends.filter(([number]) => number > seen);
  }

  private percentOf({specification, startedMs}: Run): number {
    const {workMs} = JSON.parse(specification) as Work;
    const share = (this.clockMs - startedMs) / workMs;
    return Math.min(99, Math.floor(share * 100));
  }

  private nextEndWithin(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
    });
  }

  private tick(): void {
    const nowMs = this.clockMs;
    for (const run of [...this.runs.values()]) {
      if (nowMs >= this.leaseMs) run.end('lapsed');
      else if (nowMs >= run.stopsMs) run.end('stopped');
      else if (!this.options.gangs?.isGang(run.specification)) {
        const {workMs} = JSON.parse(run.specification) as Work;
        if (nowMs - run.startedMs >= workMs) run.end('done');
      }
    }
  }

  private endRun(run: Run, how: string): void {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.noteEnded(run.task, run.run);
    this.ends.push([this.nextEnd++, run.task, run.run, how, '']);
    this.emit('end', run, how);
    for (const finish of [...this.waiting]) finish();
  }

  private noteEnded(task: string, run: number): void {
    this.highestEnded.set(
      task,
      Math.max(run, this.highestEnded.get(task) ?? 0),
    );
  }

  private emit(what: 'start' | 'end', {task, run}: Run, how?: string): void {
    const {id, labels, onEvent} = this.options;
    onEvent({what, executor: id, labels: labels.join(','), task, run, how});
  }
}
