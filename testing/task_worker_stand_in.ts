import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

import {
  EndKind,
  EndReport,
  CommandOutcome,
} from '../src/orchestrator/workers/worker_port.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';
import {readJson, writeJson} from './stand_in_http.js';

/** JSON body of a command or poll. */
interface WireCommand {
  task: string;
  run: number;
  fencingToken: number;
  deadlineMs?: number;
  lastSeen?: number;
  waitMs?: number;
}

/** Options of {@link TaskWorkerStandIn}. */
export interface TaskWorkerStandInOptions {
  /** Registration of the worker; it listens on the port of the address. */
  registration: WorkerRegistration;
  /** Maximum lease in ms; longer ones are shortened to it. */
  longestLeaseMs: number;
  /** Time in ms after which a task succeeds. */
  taskMs: number;
  /** Returns whether a task runs until it is stopped. @default none does */
  isLongRunning?: (task: string) => boolean;
  /** Called when a run starts. */
  onStarted: (task: string, run: number) => void;
  /** Called when a run no longer executes, for whatever reason. */
  onRemoved: (task: string) => void;
  /**
   * Called when the end of a successful run is acknowledged, unless the
   * worker's lease has expired since the run ended. @default none
   */
  onCompleted?: (task: string, run: number) => void;
}

const TICK_MS = 20;

/** Kinds of ends as the executors' protocol names them. */
const WIRE_END_KINDS: Record<EndKind, string> = {
  [EndKind.DONE]: 'done',
  [EndKind.FAILED]: 'failed',
  [EndKind.STOPPED]: 'stopped',
  [EndKind.LEASE_ENDED]: 'lapsed',
  [EndKind.GANG_BROKEN]: 'broken',
  [EndKind.GANG_INCOMPLETE]: 'alone',
};

/** Stand-in for an executor that runs tasks, served over HTTP. */
export class TaskWorkerStandIn {
  private readonly worker: SimulatedTaskWorker;
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private readonly startedMs = new Map<string, number>();
  private instanceId: string;
  private lastTickMs = performance.now();

  constructor(private readonly options: TaskWorkerStandInOptions) {
    this.instanceId = options.registration.id;
    this.worker = new SimulatedTaskWorker({
      ...options,
      onStarted: (task, run) => {
        this.startedMs.set(task, performance.now());
        options.onStarted(task, run);
      },
      onCompleted: (task, run) => options.onCompleted?.(task, run),
    });
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch((error: Error) =>
        writeJson(response, 400, {error: error.message}),
      );
    });
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Starts to listen on 127.0.0.1. */
  listen(): Promise<void> {
    const port = Number(this.options.registration.address.split(':')[1]);
    return new Promise((resolve) =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  /** Names of the running tasks. */
  get running(): readonly string[] {
    return this.worker.running;
  }

  /** Starts a new incarnation and closes all connections, as after a crash. */
  restart(): void {
    this.worker.restart(this.worker.bornMs + 1);
    this.server.closeAllConnections();
  }

  /** Ends the process with all its runs; connections are refused from then on. */
  crash(): void {
    this.worker.crash();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Starts the next incarnation after a crash, under the same or another id. */
  async recover(id: string): Promise<void> {
    this.instanceId = id;
    this.worker.restart(this.worker.bornMs + 1);
    await this.listen();
  }

  /** Start of the present incarnation, which rises with each. */
  get bornMs(): number {
    return this.worker.bornMs;
  }

  /** Stops the server and closes all connections. */
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
      if (this.options.isLongRunning?.(task)) continue;
      const ageMs = nowMs - (this.startedMs.get(task) ?? nowMs);
      if (ageMs >= this.options.taskMs) this.worker.finish(task, EndKind.DONE);
    }
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const command = (await readJson(request)) as WireCommand;
    if (request.headers['expected-instance'] !== this.instanceId) {
      writeJson(response, 421, {});
    } else if (request.url === '/api/run-start') {
      const leaseUntilMs = command.deadlineMs ?? 0;
      writeOutcome(response, this.worker.start({...command, leaseUntilMs}));
    } else if (request.url === '/api/run-stop') {
      writeOutcome(response, this.worker.stop(command));
    } else if (request.url === '/api/hold') {
      await this.handlePoll(command, response);
    } else writeJson(response, 200, {clockMs: 0});
  }

  private async handlePoll(
    command: WireCommand,
    response: ServerResponse,
  ): Promise<void> {
    const pollCommand = {
      fencingToken: command.fencingToken,
      acknowledgedSequence: command.lastSeen ?? 0,
      leaseUntilMs: command.deadlineMs,
    };
    const untilMs = performance.now() + (command.waitMs ?? 0);
    const {bornMs} = this.worker;
    let outcome = this.worker.poll(pollCommand);
    for (;;) {
      // A restart aborts the polls that the previous incarnation received.
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
      // The acknowledgement is applied only once, when the call arrives.
      outcome = this.worker.poll({...pollCommand, acknowledgedSequence: 0});
    }
  }
}

function toWireEnd(end: EndReport): unknown[] {
  const {sequence, task, run, kind, checkpoint} = end;
  return [sequence, task, run, WIRE_END_KINDS[kind], checkpoint];
}

/** Refusal reasons as the executors' protocol names them. */
const WIRE_REFUSAL_REASONS: Record<string, string> = {
  fenced: 'fence',
  'old-run': 'old',
  late: 'late',
};

function writeOutcome(response: ServerResponse, outcome: CommandOutcome): void {
  if (outcome.kind === 'done') {
    const {clockMs} = outcome;
    writeJson(response, 200, clockMs === undefined ? {} : {clockMs});
  } else {
    const reason = WIRE_REFUSAL_REASONS[outcome.reason] ?? 'room';
    writeJson(response, 409, {clockMs: 0, reason});
  }
}
