import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

import {
  EndKind,
  EndReport,
  CommandOutcome,
} from '../src/orchestrator/worker_port.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';
import {readJson, writeJson} from './stand_in_http.js';

interface WireOrder {
  task: string;
  run: number;
  fencingToken: number;
  deadlineMs?: number;
  lastSeen?: number;
  waitMs?: number;
}

/** Options of {@link TaskWorkerStandIn}. */
export interface TaskWorkerStandInOptions {
  entry: WorkerRegistration;
  longestLeaseMs: number;
  /** Time in ms that a task takes. */
  taskMs: number;
  onBegin: (task: string, run: number) => void;
  onGone: (task: string) => void;
  /** Called when an end with success is acknowledged. @default none */
  onNoted?: (task: string, run: number) => void;
}

const TICK_MS = 20;

const END_WORDS: Record<EndKind, string> = {
  [EndKind.DONE]: 'done',
  [EndKind.FAILED]: 'failed',
  [EndKind.STOPPED]: 'stopped',
  [EndKind.LEASE_ENDED]: 'lapsed',
  [EndKind.GANG_BROKEN]: 'broken',
  [EndKind.GANG_INCOMPLETE]: 'alone',
};

/** One of the users' executors over HTTP. */
export class TaskWorkerStandIn {
  private readonly worker: SimulatedTaskWorker;
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private readonly begunMs = new Map<string, number>();
  private lastTickMs = performance.now();

  constructor(private readonly options: TaskWorkerStandInOptions) {
    this.worker = new SimulatedTaskWorker({
      ...options,
      onBegin: (task, run) => {
        this.begunMs.set(task, performance.now());
        options.onBegin(task, run);
      },
      onNoted: (task, run) => options.onNoted?.(task, run),
    });
    this.server = createServer((request, response) => {
      this.answer(request, response).catch((error: Error) =>
        writeJson(response, 400, {error: error.message}),
      );
    });
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Starts to accept connections. */
  listen(): Promise<void> {
    const port = Number(this.options.entry.address.split(':')[1]);
    return new Promise((resolve) =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  /** Tasks that run here. */
  get running(): readonly string[] {
    return this.worker.running;
  }

  /** Begins a new life, as after a crash. */
  restart(): void {
    this.worker.restart(this.worker.bornMs + 1);
    this.server.closeAllConnections();
  }

  /** Closes all connections. */
  stop(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private tick(): void {
    const nowMs = performance.now();
    this.worker.advance(nowMs - this.lastTickMs);
    this.lastTickMs = nowMs;
    for (const task of this.worker.running) {
      const ageMs = nowMs - (this.begunMs.get(task) ?? nowMs);
      if (ageMs >= this.options.taskMs) this.worker.finish(task, EndKind.DONE);
    }
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = (await readJson(request)) as WireOrder;
    if (request.headers['expected-instance'] !== this.options.entry.id) {
      writeJson(response, 421, {});
    } else if (request.url === '/api/run-start') {
      const leaseUntilMs = order.deadlineMs ?? 0;
      writeOutcome(response, this.worker.start({...order, leaseUntilMs}));
    } else if (request.url === '/api/run-stop') {
      writeOutcome(response, this.worker.stop(order));
    } else if (request.url === '/api/hold') {
      await this.hold(order, response);
    } else writeJson(response, 200, {clockMs: 0});
  }

  private async hold(
    order: WireOrder,
    response: ServerResponse,
  ): Promise<void> {
    const look = {
      fencingToken: order.fencingToken,
      acknowledgedEnd: order.lastSeen ?? 0,
      leaseUntilMs: order.deadlineMs,
    };
    const untilMs = performance.now() + (order.waitMs ?? 0);
    const {bornMs} = this.worker;
    let outcome = this.worker.look(look);
    for (;;) {
      // A call that waits ends with the life of the worker that took it.
      if (this.worker.bornMs !== bornMs) {
        response.destroy();
        return;
      }
      if (outcome.kind !== 'report') {
        writeJson(response, 409, {reason: 'fence'});
        return;
      }
      const {report} = outcome;
      if (report.ended.length > 0 || performance.now() >= untilMs) {
        writeJson(response, 200, {
          clockMs: report.clockMs,
          born: report.bornMs,
          running: report.running.map((row) => [
            row.task,
            row.run,
            row.checkpoint,
            row.percent,
          ]),
          ended: report.ended.map(toWireEnd),
        });
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
      // Ends are acknowledged once, when the call arrives.
      outcome = this.worker.look({...look, acknowledgedEnd: 0});
    }
  }
}

function toWireEnd(end: EndReport): unknown[] {
  const {sequence, task, run, kind, checkpoint} = end;
  return [sequence, task, run, END_WORDS[kind], checkpoint];
}

const REASON_WORDS: Record<string, string> = {
  fenced: 'fence',
  'old-run': 'old',
  late: 'late',
};

function writeOutcome(response: ServerResponse, outcome: CommandOutcome): void {
  if (outcome.kind === 'done') {
    const {clockMs} = outcome;
    writeJson(response, 200, clockMs === undefined ? {} : {clockMs});
  } else {
    const reason = REASON_WORDS[outcome.reason] ?? 'room';
    writeJson(response, 409, {clockMs: 0, reason});
  }
}
