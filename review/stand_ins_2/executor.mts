import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

import {StoreStandIn} from '../../testing/store_stand_in.js';
import {readJson, writeJson} from '../../testing/stand_in_http.js';

/** How a run ends, as the executors' protocol names it. */
export type End = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** What a run does if nothing else ends it. */
export interface Behavior {
  /** Work in ms at full speed. */
  workMs: number;
  /** How it ends after that. */
  end: 'done' | 'failed';
  /** Whether it produces checkpoints. */
  checkpoints?: boolean;
  /** Gang that it belongs to: name, run-independent, and number of members. */
  gang?: {name: string; size: number};
}

/** Presence of the members of gangs, by name and run; shared by executors. */
export type GangTable = Map<string, Set<{end: (how: End) => void}>>;

/** Options of {@link Executor}. */
export interface ExecutorOptions {
  store: StoreStandIn;
  /** Port on 127.0.0.1 on which it listens in all of its lives. */
  port: number;
  service: string;
  zone: string;
  rack: string;
  /** CPU in millicores. */
  cpu: number;
  memoryMb: number;
  /** Returns the behavior of a run. */
  behaviorOf: (task: string, run: number) => Behavior;
  /** Returns the CPU in millicores and the memory in MB of a task. */
  sizeOf: (task: string) => {cpu: number; memoryMb: number};
  /** Gangs of all executors. @default of this one alone */
  gangs?: GangTable;
  /** Ticket that a start of a task needs, if any. @default none */
  ticketOf?: (task: string, executor: string) => string | undefined;
  /**
   * Time in ms after which an order without an answer is carried out.
   * @default each is answered at once
   */
  lateMs?: () => number | undefined;
  /** Returns the time in ms for which a report is under way. @default 0 */
  reportDelayMs?: () => number;
  /** Called when a start arrives, before it is carried out. */
  onStartArrived?: (executor: Executor, task: string) => void;
  /** Label of its kind. @default a */
  kind?: string;
  /** Receives everything that happens on this executor. */
  record: (event: string, details: Record<string, unknown>) => void;
}

interface Run {
  task: string;
  run: number;
  behavior: Behavior;
  workedMs: number;
  percent: number;
  checkpoint: string;
  stopsAtMs: number;
  startedMs: number;
  member: {end: (how: End) => void};
}

/** An entry of the list of ends: number, task, run, how, checkpoint. */
type EndRow = [number, string, number, End, string];

interface Command {
  task: string;
  run: number;
  fencingToken?: number;
  deadlineMs?: number;
  lastSeen?: number;
  waitMs?: number;
  percent?: number;
  checkpoint?: string;
  ticket?: string;
  specification?: string;
}

/** `gangTimeoutMs`: time in ms that a member waits for the others. */
const GANG_TIMEOUT_MS = 3000;

/** `maxHoldMs`: longest lease in ms. */
const MAX_HOLD_MS = 6000;

/** Time in ms of a stop; at most `stopTimeoutMs`. */
const STOP_MS = 50;

/** `checkpointIntervalS` in ms. */
const CHECKPOINT_INTERVAL_MS = 2000;

/** Three intervals of `heartbeatIntervalMs`. */
const SILENCE_MS = 3300;

const TICK_MS = 10;

/** Ends in one list. */
const MAX_ENDS = 500;

/** Stand-in of an executor with `admissionCheck`, in all of its lives. */
export class Executor {
  /** Id of the present life. */
  id = '';
  private lives = 0;
  private born = 0;
  private startedMs = 0;
  private token = 0;
  private leaseUntilMs = 0;
  private nextEnd = 1;
  private ends: EndRow[] = [];
  private isCut = false;
  private reportsUnderWay = 0;
  /** Number of the last end when the lease lapsed. */
  private lapsedAtEnd = 0;
  private readonly gangs: GangTable;
  private readonly runs = new Map<string, Run>();
  private readonly highest = new Map<string, number>();
  private waiters: Array<() => void> = [];
  private server: Server | undefined;
  private timer: NodeJS.Timeout | undefined;
  private lastTickMs = 0;

  constructor(private readonly options: ExecutorOptions) {
    this.gangs = options.gangs ?? new Map<string, never>();
  }

  /** Cuts it off or heals the cut; it runs on meanwhile. */
  set cut(isCut: boolean) {
    this.isCut = isCut;
    if (isCut) this.server?.closeAllConnections();
    this.options.record(isCut ? 'cut' : 'healed', {executor: this.id});
  }

  /** Begins a life, by default under a new id, and registers. */
  async start({keepsId = false} = {}): Promise<void> {
    const {port, service, zone, rack, cpu, memoryMb, store} = this.options;
    this.lives += 1;
    if (!keepsId || this.id === '') this.id = `x${port}-${this.lives}`;
    this.isCut = false;
    this.lapsedAtEnd = 0;
    this.born = Date.now();
    this.startedMs = performance.now();
    this.token = 0;
    this.leaseUntilMs = 0;
    this.nextEnd = 1;
    this.ends = [];
    this.highest.clear();
    this.lastTickMs = this.startedMs;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise<void>((resolve) =>
      this.server!.listen(port, '127.0.0.1', resolve),
    );
    this.timer = setInterval(() => this.tick(), TICK_MS);
    const entry = {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      capacity: {cpu, memoryRequestMb: memoryMb, gpu: 0},
      labels: [this.options.kind ?? 'a', rack],
      born: this.born,
    };
    const value = Buffer.from(JSON.stringify(entry));
    store.store.put(`servers/${this.id}`, value);
    this.options.record('executor-up', {executor: this.id});
  }

  /** Crashes: all that runs ends, and the entry goes after some silence. */
  crash(): void {
    const {id} = this;
    this.options.record('executor-crash', {executor: id, runs: this.running});
    this.close();
    setTimeout(() => {
      if (this.id !== id) this.options.store.store.remove(`servers/${id}`);
    }, SILENCE_MS).unref();
  }

  /** Ends the present life without a trace in the record. */
  close(): void {
    clearInterval(this.timer);
    const left = [...this.runs.values()];
    this.runs.clear();
    for (const run of left) this.leaveGang(run);
    this.server?.closeAllConnections();
    this.server?.close();
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Whether a report was made and has not arrived yet. */
  get hasReportUnderWay(): boolean {
    return this.reportsUnderWay > 0;
  }

  /** Names of the tasks that run. */
  get running(): string[] {
    return [...this.runs.keys()];
  }

  private get clockMs(): number {
    return Math.floor(performance.now() - this.startedMs);
  }

  private tick(): void {
    const nowMs = performance.now();
    const passedMs = nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    for (const run of [...this.runs.values()]) {
      if (!this.runs.has(run.task)) continue;
      const {behavior} = run;
      if (this.clockMs >= run.stopsAtMs) {
        this.end(run, 'stopped');
        continue;
      }
      if (!this.isGangPresent(run)) {
        const waitedMs = nowMs - run.startedMs;
        if (waitedMs >= GANG_TIMEOUT_MS) this.end(run, 'alone');
        continue;
      }
      run.workedMs += (passedMs * run.percent) / 100;
      if (behavior.checkpoints) {
        const saved = Math.floor(run.workedMs / CHECKPOINT_INTERVAL_MS);
        if (saved > 0) run.checkpoint = checkpointOf(saved);
      }
      if (run.workedMs >= behavior.workMs) this.end(run, behavior.end);
    }
    if (this.clockMs < this.leaseUntilMs) return;
    this.lapsedAtEnd = this.nextEnd - 1;
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
  }

  private gangOf(run: Run): Set<Run['member']> | undefined {
    const {gang} = run.behavior;
    if (!gang) return undefined;
    const key = `${gang.name} ${run.run}`;
    const members = this.gangs.get(key) ?? new Set();
    this.gangs.set(key, members);
    return members;
  }

  private isGangPresent(run: Run): boolean {
    const {gang} = run.behavior;
    return !gang || this.gangOf(run)!.size >= gang.size;
  }

  /** Ends the other members, as done if this one has ended so. */
  private leaveGang(run: Run, how?: End): void {
    const members = this.gangOf(run);
    if (!members?.delete(run.member)) return;
    if (how === 'alone') return;
    const wasPresent = members.size + 1 >= run.behavior.gang!.size;
    const others = [...members];
    if (!wasPresent) return;
    for (const other of others) other.end(how === 'done' ? 'done' : 'broken');
  }

  private end(run: Run, how: End): void {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.raise(run.task, run.run);
    const {task, checkpoint} = run;
    this.ends.push([this.nextEnd++, task, run.run, how, checkpoint]);
    const {id: executor} = this;
    this.options.record('end', {executor, task, run: run.run, how});
    this.leaveGang(run, how);
    for (const wake of this.waiters.splice(0)) wake();
  }

  private raise(task: string, run: number): void {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {id, born} = this;
    const command = (await readJson(request)) as Command;
    if (this.isCut) return;
    const isOrder = request.url !== '/api/hold';
    const lateMs = isOrder ? this.options.lateMs?.() : undefined;
    if (lateMs !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, lateMs));
      if (this.id !== id || this.born !== born) return;
      const {task, run} = command;
      this.options.record('late', {executor: id, task, run, url: request.url});
    }
    const respond = (status: number, body: object = {}): void =>
      writeJson(response, status, {clockMs: this.clockMs, ...body});
    const instance = request.headers['expected-instance'];
    if (instance !== undefined && instance !== this.id) {
      respond(421);
      return;
    }
    const token = command.fencingToken ?? 0;
    if (token < this.token) {
      respond(409, {reason: 'fence'});
      return;
    }
    this.token = token;
    if (request.url === '/api/run-start') {
      this.options.onStartArrived?.(this, command.task);
    }
    if (request.url === '/api/run-start') this.startRun(command, respond);
    else if (request.url === '/api/run-stop') {
      this.raise(command.task, command.run);
      const run = this.runs.get(command.task);
      if (run?.run === command.run) {
        run.stopsAtMs = Math.min(run.stopsAtMs, this.clockMs + STOP_MS);
      }
      respond(200);
    } else if (request.url === '/api/pace') {
      const run = this.runs.get(command.task);
      if (run?.run === command.run) run.percent = command.percent ?? 100;
      respond(200);
    } else if (request.url === '/api/hold') {
      await this.hold(command);
      const running = [...this.runs.values()].map((run) => [
        run.task,
        run.run,
        run.checkpoint,
        Math.min(99, (100 * run.workedMs) / run.behavior.workMs),
        0,
      ]);
      const report = {
        clockMs: this.clockMs,
        born: this.born,
        running,
        ended: this.ends.slice(0, MAX_ENDS),
      };
      await this.delayReport();
      writeJson(response, 200, report);
    } else respond(400);
  }

  private async delayReport(): Promise<void> {
    const delayMs = this.options.reportDelayMs?.() ?? 0;
    if (delayMs === 0) return;
    this.reportsUnderWay += 1;
    await new Promise((resolve) => setTimeout(resolve, delayMs));
    this.reportsUnderWay -= 1;
  }

  private async hold(command: Command): Promise<void> {
    const {lastSeen = 0, deadlineMs, waitMs = 0} = command;
    for (const [number, task, run, how] of this.ends) {
      if (number > lastSeen) break;
      const isNoted = number > this.lapsedAtEnd;
      const {id: executor} = this;
      this.options.record('noted', {executor, task, run, how, isNoted});
    }
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    this.extend(deadlineMs);
    if (this.ends.length > 0 || waitMs === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private extend(deadlineMs: number | undefined): void {
    if (deadlineMs === undefined) return;
    const limitMs = Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, limitMs);
  }

  private startRun(
    command: Command,
    respond: (status: number, body?: object) => void,
  ): void {
    const {task, run, deadlineMs = 0, checkpoint = ''} = command;
    if (deadlineMs <= this.clockMs) {
      respond(409, {reason: 'late'});
      return;
    }
    this.extend(deadlineMs);
    const current = this.runs.get(task);
    if (current?.run === run) {
      respond(200);
      return;
    }
    if (current ?? (this.highest.get(task) ?? 0) >= run) {
      respond(409, {reason: 'old'});
      return;
    }
    if (this.options.ticketOf?.(task, this.id) !== command.ticket) {
      const {id: executor} = this;
      this.options.record('refused', {executor, task, run, reason: 'ticket'});
      respond(409, {reason: 'ticket'});
      return;
    }
    if (!this.hasRoom(task)) {
      respond(409, {reason: 'room'});
      return;
    }
    const behavior = this.options.behaviorOf(task, run);
    const workedMs = Number(checkpoint) * CHECKPOINT_INTERVAL_MS;
    const started: Run = {
      task,
      run,
      behavior,
      workedMs,
      percent: 100,
      checkpoint,
      stopsAtMs: Infinity,
      startedMs: performance.now(),
      member: {end: (how) => this.end(started, how)},
    };
    this.runs.set(task, started);
    this.gangOf(started)?.add(started.member);
    const {id: executor} = this;
    const {specification, fencingToken} = command;
    this.options.record('start', {
      executor,
      task,
      run,
      checkpoint,
      specification,
      fencingToken,
    });
    respond(200);
  }

  private hasRoom(task: string): boolean {
    let {cpu, memoryMb} = this.options;
    for (const name of [...this.runs.keys(), task]) {
      const size = this.options.sizeOf(name);
      cpu -= size.cpu;
      memoryMb -= size.memoryMb;
    }
    return cpu >= 0 && memoryMb >= 0;
  }
}

/** Checkpoint after a number of intervals, in 16 digits. */
function checkpointOf(saved: number): string {
  return String(saved).padStart(16, '0');
}
