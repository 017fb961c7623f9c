import {Server as HttpServer} from 'node:http';
import {AddressInfo, createServer} from 'node:net';

import {RandomSource} from '../src/random/random_source.js';

/** Body of a command or poll of the executors' protocol. */
export interface WorkerCall {
  task: string;
  run: number;
  specification: string;
  lastSeen?: number;
  waitMs?: number;
}

/** Answer of a worker: HTTP status and JSON body. */
export interface WorkerAnswer {
  status: number;
  body: object;
}

/** Counts of what the workers were asked to do. */
export interface WorkerCounts {
  starts: number;
  stops: number;
  speedLimits: number;
  polls: number;
  ends: number;
}

interface ActiveRun {
  run: number;
  startedMs: number;
  /** Undefined for a task that runs until it is stopped. */
  durationMs: number | undefined;
  timer: NodeJS.Timeout | undefined;
}

type EndRow = [
  sequence: number,
  task: string,
  run: number,
  how: string,
  checkpoint: string,
];

/** Interval in ms of work after which a new checkpoint is reported. */
const CHECKPOINT_INTERVAL_MS = 500;

/** Range of the random factor on the run time of a task. */
const DURATION_SPREAD = 0.8;

/**
 * Worker that answers polls at once when a run ends. It costs little, so that
 * hundreds of them fit into one process, and grants every lease.
 */
export class LoadWorker {
  private readonly runs = new Map<string, ActiveRun>();
  private ends: EndRow[] = [];
  private nextSequence = 1;
  private wakePoll: (() => void) | undefined;

  constructor(
    private readonly random: RandomSource,
    private readonly counts: WorkerCounts,
  ) {}

  /** Executes a call and returns its answer. */
  handle(path: string, call: WorkerCall): Promise<WorkerAnswer> {
    if (path === '/api/hold') return this.poll(call);
    if (path === '/api/run-start') this.start(call);
    else if (path === '/api/run-stop') this.stop(call);
    else this.counts.speedLimits += 1;
    return Promise.resolve({status: 200, body: {clockMs: clockMs()}});
  }

  private start({task, run, specification}: WorkerCall): void {
    if (this.runs.get(task)?.run === run) return;
    this.counts.starts += 1;
    const averageMs = Number(specification);
    const isLongRunning = averageMs === 0;
    const factor = 1 + (this.random.next() - 0.5) * DURATION_SPREAD;
    const durationMs = isLongRunning ? undefined : averageMs * factor;
    const timer =
      durationMs === undefined
        ? undefined
        : setTimeout(() => this.end(task, 'done'), durationMs);
    this.runs.set(task, {run, startedMs: clockMs(), durationMs, timer});
  }

  private stop({task, run}: WorkerCall): void {
    this.counts.stops += 1;
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped');
  }

  private end(task: string, how: string): void {
    const active = this.runs.get(task);
    if (!active) return;
    clearTimeout(active.timer);
    this.runs.delete(task);
    this.counts.ends += 1;
    this.ends.push([this.nextSequence++, task, active.run, how, '']);
    this.wakePoll?.();
  }

  private async poll({
    lastSeen = 0,
    waitMs = 0,
  }: WorkerCall): Promise<WorkerAnswer> {
    this.counts.polls += 1;
    this.ends = this.ends.filter(([sequence]) => sequence > lastSeen);
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(waitMs);
    const running = [...this.runs].map((entry) => this.toRow(entry));
    return {
      status: 200,
      body: {clockMs: clockMs(), born: 1, running, ended: this.ends},
    };
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.wakePoll = undefined;
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.wakePoll = finish;
    });
  }

  private toRow([task, active]: [string, ActiveRun]): unknown[] {
    const {run, startedMs, durationMs} = active;
    if (durationMs === undefined) {
      return [task, run, '', 100, 12 + Math.floor(this.random.next() * 20)];
    }
    const ageMs = clockMs() - startedMs;
    const saved = Math.floor(ageMs / CHECKPOINT_INTERVAL_MS);
    const checkpoint = saved === 0 ? '' : `${saved}`.padStart(16, '0');
    const percent = Math.min(99, Math.floor((100 * ageMs) / durationMs));
    return [task, run, checkpoint, percent, 3000];
  }
}

/**
 * Opens a port on the loopback interface whose connections a shared HTTP server
 * handles; returns the address.
 */
export async function listenFor(server: HttpServer): Promise<string> {
  const listener = createServer((socket) => {
    socket.setNoDelay(true);
    server.emit('connection', socket);
  });
  await new Promise<void>((resolve) =>
    listener.listen(0, '127.0.0.1', resolve),
  );
  return `127.0.0.1:${(listener.address() as AddressInfo).port}`;
}

function clockMs(): number {
  return Math.floor(performance.now());
}
