import {Server} from 'node:http';

import {GangHall} from './gang_hall.js';
import {Answer, listen, serve, sleep} from './http.js';
import {Record} from './record.js';

/** How a run ends by itself. */
export interface Ending {
  /** Time in ms after its start. */
  afterMs: number;
  how: 'done' | 'failed';
}

/** Observes the runs of all executors. */
export interface RunObserver {
  /** A task began on an order. */
  started(run: RunName, executor: ExecutorStandIn): void;
  /** A run is over, also when its executor crashed (`how` is 'crashed'). */
  ended(run: RunName, how: string, executor: ExecutorStandIn): void;
  /**
   * An end was taken note of: `lastSeen` has reached it, and the lease of the
   * executor did not lapse between the two.
   */
  noted(run: RunName, how: string, executor: ExecutorStandIn): void;
}

/** A run of a task. */
export interface RunName {
  task: string;
  run: number;
}

/** Options of {@link ExecutorStandIn}. */
export interface ExecutorOptions {
  id: string;
  rack: string;
  cpu: number;
  memoryMb: number;
  record: Record;
  observer: RunObserver;
  /** Returns how a run ends; undefined if it lasts until it is stopped. */
  endingOf: (run: RunName) => Ending | undefined;
  /** Returns what a task takes of the capacity. */
  needsOf: (task: string) => {cpu: number; memoryMb: number};
  /** Delay in ms of each call and of each answer. @default 0 */
  delayMs?: number;
  /** Whether tasks save their progress each 2 s. @default false */
  saves?: boolean;
  /** Where the members of gangs meet. @default no task is of a gang */
  gangs?: GangHall;
}

interface Run extends RunName {
  startedMs: number;
  timer: NodeJS.Timeout | undefined;
  /** Checkpoint that its start carried; empty if none. */
  checkpoint: string;
}

interface End extends RunName {
  number: number;
  how: string;
  saved: string;
}

/** Longest lease in ms (`maxHoldMs`). */
const MAX_HOLD_MS = 6000;

/** `checkpointIntervalS` in ms. */
const CHECKPOINT_INTERVAL_MS = 2000;

/** Ends that one answer lists at most. */
const ENDS_IN_ANSWER = 500;

/**
 * An executor as PROTOCOL.md describes it, with `admissionCheck`: it starts,
 * stops and lists runs, holds a lease and checks the fencing token.
 */
export class ExecutorStandIn {
  id: string;
  born = Date.now();
  port = 0;
  isUp = false;
  /** Time in ms at which the lease ends. */
  private leaseEndsMs = 0;
  private bornMs = performance.now();
  private token = 0;
  private nextNumber = 1;
  /** Ends with numbers up to this one were listed before the lease lapsed. */
  private lapsedUpTo = 0;
  private readonly runs = new Map<string, Run>();
  private readonly used = {cpu: 0, memoryMb: 0};
  private ends: End[] = [];
  private readonly highest = new Map<string, number>();
  private readonly waiters = new Set<() => void>();
  private server: Server | undefined;
  private leaseTimer: NodeJS.Timeout | undefined;
  private lives = 1;

  constructor(readonly options: ExecutorOptions) {
    this.id = options.id;
  }

  /** Starts to listen; later lives use the same port. */
  async start(): Promise<void> {
    const {delayMs = 0} = this.options;
    this.server = serve(async ({url, body, headers}) => {
      if (delayMs > 0) await sleep(delayMs);
      const instance = headers['expected-instance'];
      const answer = await this.handle(url.pathname, body, instance);
      if (delayMs > 0) await sleep(delayMs);
      return answer;
    });
    this.port = await listen(this.server, this.port);
    this.isUp = true;
  }

  /** Ends the process with all that runs on it. */
  crash(): void {
    const {record, observer} = this.options;
    record.add(`${this.id} crashes; runs ${this.runs.size} tasks`);
    this.isUp = false;
    clearTimeout(this.leaseTimer);
    for (const run of [...this.runs.values()]) {
      clearTimeout(run.timer);
      this.runs.delete(run.task);
      this.use(run.task, -1);
      observer.ended(run, 'crashed', this);
      this.options.gangs?.leave(run);
    }
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Begins the next life after a crash, with another id. */
  async restart(): Promise<void> {
    this.lives += 1;
    this.id = `${this.options.id}-${this.lives}`;
    this.born = Date.now();
    this.bornMs = performance.now();
    this.leaseEndsMs = 0;
    this.token = 0;
    this.nextNumber = 1;
    this.lapsedUpTo = 0;
    this.ends = [];
    this.highest.clear();
    this.options.record.add(`${this.id} is up`);
    await this.start();
  }

  stop(): void {
    this.isUp = false;
    clearTimeout(this.leaseTimer);
    for (const {timer} of this.runs.values()) clearTimeout(timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Entry in the store. */
  entry(service: string, zone: string): object {
    const {cpu, memoryMb, rack} = this.options;
    return {
      service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      sequence: 1,
      capacity: {cpu, memoryRequestMb: memoryMb},
      labels: ['a', rack],
      born: this.born,
    };
  }

  /** Thousandths of a core that its tasks request. */
  get usedCpu(): number {
    return this.used.cpu;
  }

  /** Names of the tasks that run here. */
  get tasks(): string[] {
    return [...this.runs.keys()];
  }

  private get clockMs(): number {
    return Math.floor(performance.now() - this.bornMs) + 1000;
  }

  private handle(
    path: string,
    body: CallBody,
    instance: unknown,
  ): Promise<Answer | undefined> | Answer {
    if (instance !== undefined && instance !== this.id) return {status: 421};
    const token = Number(body.fencingToken ?? 0);
    const {clockMs} = this;
    if (token < this.token) {
      return {status: 409, body: {clockMs, reason: 'fence'}};
    }
    this.token = token;
    switch (path) {
      case '/api/run-start':
        return this.startRun(body);
      case '/api/run-stop':
        return this.stopRun(body);
      case '/api/pace':
        return {status: 200, body: {clockMs}};
      case '/api/hold':
        return this.hold(body);
      default:
        return {status: 400, body: {clockMs}};
    }
  }

  private startRun(body: CallBody): Answer {
    const task = String(body.task);
    const run = Number(body.run);
    const {clockMs} = this;
    const refuse = (reason: string): Answer => ({
      status: 409,
      body: {clockMs, reason},
    });
    const current = this.runs.get(task);
    if (current?.run === run) return {status: 200, body: {clockMs}};
    if (Number(body.deadlineMs) <= clockMs) return refuse('late');
    this.extendLease(Number(body.deadlineMs));
    if (current || run <= (this.highest.get(task) ?? 0)) return refuse('old');
    if (!this.hasRoomFor(task)) return refuse('room');
    const {checkpoint} = body;
    this.begin({task, run}, typeof checkpoint === 'string' ? checkpoint : '');
    return {status: 200, body: {clockMs}};
  }

  private begin(name: RunName, checkpoint: string): void {
    const {record, observer, endingOf, gangs} = this.options;
    const ending = gangs ? undefined : endingOf(name);
    const timer =
      ending &&
      setTimeout(() => this.end(name.task, ending.how), ending.afterMs);
    const startedMs = performance.now();
    this.runs.set(name.task, {...name, startedMs, timer, checkpoint});
    this.use(name.task, 1);
    if (checkpoint !== '') {
      record.add(`${name.task} run ${name.run} carries "${checkpoint}"`);
    }
    observer.started(name, this);
    const end = (how: string): void => {
      if (this.runs.get(name.task)?.run === name.run) this.end(name.task, how);
    };
    gangs?.join({...name, checkpoint, end});
  }

  private hasRoomFor(task: string): boolean {
    const {needsOf, cpu, memoryMb} = this.options;
    const needs = needsOf(task);
    return (
      this.used.cpu + needs.cpu <= cpu &&
      this.used.memoryMb + needs.memoryMb <= memoryMb
    );
  }

  private use(task: string, sign: 1 | -1): void {
    const needs = this.options.needsOf(task);
    this.used.cpu += sign * needs.cpu;
    this.used.memoryMb += sign * needs.memoryMb;
  }

  private stopRun(body: CallBody): Answer {
    const task = String(body.task);
    const run = Number(body.run);
    const highest = this.highest.get(task) ?? 0;
    this.highest.set(task, Math.max(highest, run));
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped');
    return {status: 200, body: {clockMs: this.clockMs}};
  }

  private async hold(body: CallBody): Promise<Answer | undefined> {
    this.acknowledge(Number(body.lastSeen ?? 0));
    if (body.deadlineMs !== undefined) {
      this.extendLease(Number(body.deadlineMs));
    }
    const {born} = this;
    const waitMs = Number(body.waitMs ?? 0);
    if (this.ends.length === 0 && waitMs > 0) await this.nextEnd(waitMs);
    if (!this.isUp || this.born !== born) return undefined;
    if (Number(body.fencingToken ?? 0) < this.token) {
      const {clockMs} = this;
      return {status: 409, body: {clockMs, reason: 'fence'}};
    }
    return {
      status: 200,
      body: {
        clockMs: this.clockMs,
        born,
        running: [...this.runs.values()].map((run) => this.rowOf(run)),
        ended: this.ends
          .slice(0, ENDS_IN_ANSWER)
          .map(({number, task, run, how, saved}) => [
            number,
            task,
            run,
            how,
            saved,
          ]),
      },
    };
  }

  private rowOf({task, run, startedMs, checkpoint}: Run): unknown[] {
    const {gangs} = this.options;
    if (gangs) {
      const saved = gangs.savedOf({task, run}, checkpoint);
      const percent = gangs.percentOf({task, run});
      return [task, run, saved, percent, this.options.needsOf(task).cpu];
    }
    const ending = this.options.endingOf({task, run});
    const ageMs = performance.now() - startedMs;
    const percent = ending
      ? Math.min(99, Math.floor((100 * ageMs) / ending.afterMs))
      : 100;
    const saved = this.options.saves ? savedAfter(ageMs) : '';
    return [task, run, saved, percent, this.options.needsOf(task).cpu];
  }

  private acknowledge(lastSeen: number): void {
    const {observer} = this.options;
    for (const end of this.ends) {
      if (end.number > lastSeen) break;
      if (end.number > this.lapsedUpTo) observer.noted(end, end.how, this);
    }
    this.ends = this.ends.filter(({number}) => number > lastSeen);
  }

  private extendLease(deadlineMs: number): void {
    const limitMs = Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS);
    const endsMs = performance.now() + (limitMs - this.clockMs);
    if (endsMs <= this.leaseEndsMs) return;
    this.leaseEndsMs = endsMs;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => this.lapse(),
      endsMs - performance.now(),
    );
  }

  private lapse(): void {
    this.options.record.add(`lease of ${this.id} lapses`);
    this.lapsedUpTo = this.nextNumber - 1;
    for (const task of this.tasks) this.end(task, 'lapsed');
  }

  private end(task: string, how: string): void {
    const run = this.runs.get(task);
    if (!run) return;
    clearTimeout(run.timer);
    const {gangs, observer} = this.options;
    const saved = gangs?.savedOf(run, run.checkpoint) ?? '';
    this.runs.delete(task);
    this.use(task, -1);
    const highest = this.highest.get(task) ?? 0;
    this.highest.set(task, Math.max(highest, run.run));
    const number = this.nextNumber++;
    this.ends.push({number, task, run: run.run, how, saved});
    observer.ended(run, how, this);
    gangs?.leave(run);
    for (const wake of [...this.waiters]) wake();
  }

  private nextEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(finish);
    });
  }
}

/** Checkpoint after a time of work in ms, with a new value each 2 s. */
function savedAfter(ageMs: number): string {
  const values = Math.floor(ageMs / CHECKPOINT_INTERVAL_MS);
  return values === 0 ? '' : values.toString(16).padStart(16, '0');
}

/** Decoded body of a call. */
type CallBody = {[key: string]: unknown};
