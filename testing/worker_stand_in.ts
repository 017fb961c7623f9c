import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';

import {Resources} from '../src/workers/resources.js';
import {
  CommandContext,
  StartCommand,
  WorkerRefusal,
  WorkerReport,
  WorkerTask,
  WorkerTaskState,
} from '../src/workers/worker_client.js';
import {readJson, writeJson} from './stand_in_http.js';
import {TaskLedger} from './task_ledger.js';

/** Simulated behaviour of a task; the payload of its job. */
export interface StandInWork {
  /** Run time in ms at full speed; endless if 0 or absent. */
  actualRunTimeMs?: number;
  /** Actual resource usage. @default the declared resources */
  actualUsage?: Resources;
  /** True if the task fails at the end of its run time. @default false */
  fails?: boolean;
  /** True if the task crashes its worker soon after its start. @default false */
  crashesWorker?: boolean;
}

/** Faults applied to a worker. */
export interface WorkerFaults {
  /** Reads commands but neither executes nor answers them. @default false */
  silent?: boolean;
  /** Closes connections immediately. @default false */
  unreachable?: boolean;
  /** Every task fails shortly after its start. @default false */
  failsEverything?: boolean;
  /** Fraction of executed commands whose response is lost. @default 0 */
  loseAnswers?: number;
}

/** Options of {@link WorkerStandIn}. */
export interface WorkerStandInOptions {
  /** Name of the worker. */
  worker: string;
  /** Total resources of the worker. */
  capacity: Resources;
  /** Records starts and ends of tasks. */
  ledger: TaskLedger;
  /** Rate of the worker's clock relative to real time. @default 1 */
  clockRate?: number;
  /** Time in ms after a start until reports show its usage. @default 2000 */
  usageLagMs?: number;
  /** Slowdown factor of a task by the kinds of the others. @default always 1 */
  interference?: (kind: string, others: readonly string[]) => number;
}

/** A running or ended task; its times are on the worker's clock. */
interface RunningTask extends WorkerTask {
  work: StandInWork;
  startedMs: number;
  updatedMs: number;
  doneMs: number;
}

const TICK_MS = 20;

/**
 * Stand-in for a worker of the platform: runs tasks under leases, rejects
 * commands with old epochs and late starts, and reports usage with a delay.
 */
export class WorkerStandIn {
  /** Faults in effect. */
  faults: WorkerFaults = {};
  /** True if reports announce that the worker is leaving. */
  leaving = false;
  private readonly tasks = new Map<string, RunningTask>();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private readonly bootMs = performance.now();
  private highestEpoch = 0;
  private incarnation = 1;
  private commandCount = 0;

  constructor(private readonly options: WorkerStandInOptions) {
    this.server = createServer((message, response) => {
      void this.handle(message, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => {
      if (this.faults.unreachable) socket.destroy();
    });
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Starts to listen and returns the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, host, () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Stops the server and closes all connections. */
  stop(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  /** Replaces the faults in effect; `unreachable` closes open connections. */
  setFaults(faults: WorkerFaults): void {
    this.faults = faults;
    if (faults.unreachable) this.server.closeAllConnections();
  }

  /** Restarts the worker: all tasks end and the incarnation changes. */
  restart(): void {
    for (const task of this.tasks.values()) {
      if (task.state === WorkerTaskState.RUNNING) {
        this.options.ledger.ended(task.taskId, false);
      }
    }
    this.tasks.clear();
    this.highestEpoch = 0;
    this.incarnation += 1;
  }

  /** Returns the time in ms on the worker's clock. */
  private clockMs(): number {
    return (performance.now() - this.bootMs) * (this.options.clockRate ?? 1);
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.unreachable) {
      response.destroy();
      return;
    }
    const body = (await readJson(message)) as CommandContext &
      Record<string, unknown>;
    if (this.faults.silent) return;
    const name = (message.url ?? '').split('/').at(-1) ?? '';
    const report = this.execute(name, body);
    this.commandCount += 1;
    const {loseAnswers = 0} = this.faults;
    if (
      loseAnswers > 0 &&
      (this.commandCount * loseAnswers) % 1 < loseAnswers
    ) {
      response.destroy();
      return;
    }
    writeJson(response, 200, report);
  }

  private execute(
    name: string,
    body: CommandContext & Record<string, unknown>,
  ): WorkerReport {
    const refusal = this.findRefusal(name, body);
    if (refusal) return this.report(refusal);
    this.highestEpoch = body.epoch;
    const taskId = String(body['taskId']);
    const task = this.tasks.get(taskId);
    switch (name) {
      case 'read-back':
        return this.report();
      case 'start':
        return this.start(body as unknown as StartCommand);
      case 'renew':
        return this.renew(Number(body['leaseUntilMs']));
      case 'forget':
        for (const id of body['taskIds'] as string[]) this.forget(id);
        return this.report();
      case 'checkpoint':
      case 'throttle':
      case 'stop':
        if (!task) return this.report('unknown-task');
        this.applyToTask(name, task, body);
        return this.report();
      default:
        throw new Error(`Unknown worker command "${name}"`);
    }
  }

  private findRefusal(
    name: string,
    context: CommandContext,
  ): WorkerRefusal | undefined {
    if (context.epoch < this.highestEpoch) return 'epoch';
    const isReadBack = name === 'read-back';
    if (!isReadBack && context.incarnation !== this.incarnationName()) {
      return 'incarnation';
    }
    return undefined;
  }

  private start(command: StartCommand): WorkerReport {
    if (this.clockMs() > command.startBeforeMs) return this.report('late');
    // Starts are idempotent, also if the task has ended since.
    if (this.tasks.has(command.taskId)) return this.report();
    const {ledger, worker} = this.options;
    ledger.started(command.taskId, worker, command.checkpoint);
    const nowMs = this.clockMs();
    const progress =
      command.checkpoint === undefined ? 0 : parseProgress(command.checkpoint);
    this.tasks.set(command.taskId, {
      taskId: command.taskId,
      state: WorkerTaskState.RUNNING,
      kind: command.kind,
      resources: command.resources,
      usage: {processors: 0, memoryMegabytes: 0, accelerators: 0},
      progress,
      speed: 1,
      throttle: 1,
      leaseUntilMs: command.leaseUntilMs,
      checkpoint: command.checkpoint,
      work: command.payload ?? {},
      startedMs: nowMs,
      updatedMs: nowMs,
      doneMs: 0,
    });
    this.checkCapacity();
    return this.report();
  }

  private renew(leaseUntilMs: number): WorkerReport {
    for (const task of this.running()) {
      task.leaseUntilMs = Math.max(task.leaseUntilMs, leaseUntilMs);
    }
    return this.report();
  }

  private forget(taskId: string): void {
    if (this.tasks.get(taskId)?.state !== WorkerTaskState.RUNNING) {
      this.tasks.delete(taskId);
    }
  }

  private applyToTask(
    name: 'checkpoint' | 'throttle' | 'stop',
    task: RunningTask,
    body: Record<string, unknown>,
  ): void {
    if (task.state !== WorkerTaskState.RUNNING) return;
    this.advance(task);
    if (name === 'throttle') task.throttle = Number(body['throttle']);
    if (name === 'checkpoint') {
      task.checkpoint = `${task.taskId}@${task.progress.toFixed(6)}`;
    }
    if (name === 'stop') {
      this.end(task, WorkerTaskState.STOPPED);
      const {checkpoint} = task;
      if (checkpoint) this.options.ledger.checkpointed(task.taskId, checkpoint);
    }
  }

  private tick(): void {
    if (this.faults.silent === undefined && this.tasks.size === 0) return;
    const nowMs = this.clockMs();
    for (const task of this.running()) {
      this.advance(task);
      const {work} = task;
      if (nowMs > task.leaseUntilMs) {
        task.failure = 'lease expired';
        this.end(task, WorkerTaskState.STOPPED);
      } else if (work.crashesWorker) {
        this.restart();
        return;
      } else if (this.faults.failsEverything) {
        this.fail(task, 'worker fault');
      } else if (work.actualRunTimeMs && task.progress >= 1) {
        if (work.fails) this.fail(task, 'job fault');
        else this.end(task, WorkerTaskState.FINISHED);
      }
    }
  }

  private advance(task: RunningTask): void {
    const nowMs = this.clockMs();
    const elapsedMs = nowMs - task.updatedMs;
    task.updatedMs = nowMs;
    const others = this.running()
      .filter((other) => other !== task)
      .map((other) => other.kind);
    const slowdown = this.options.interference?.(task.kind, others) ?? 1;
    task.speed = task.throttle / slowdown;
    const {actualRunTimeMs} = task.work;
    if (actualRunTimeMs) {
      const step = (elapsedMs * task.speed) / actualRunTimeMs;
      task.progress = Math.min(1, task.progress + step);
    }
    if (nowMs - task.startedMs > (this.options.usageLagMs ?? 2000)) {
      task.usage = task.work.actualUsage ?? task.resources;
    }
  }

  private fail(task: RunningTask, reason: string): void {
    task.failure = reason;
    this.end(task, WorkerTaskState.FAILED);
  }

  private end(task: RunningTask, state: WorkerTaskState): void {
    task.state = state;
    this.options.ledger.ended(task.taskId, state === WorkerTaskState.FINISHED);
  }

  private running(): RunningTask[] {
    return [...this.tasks.values()].filter(
      (task) => task.state === WorkerTaskState.RUNNING,
    );
  }

  private checkCapacity(): void {
    const {capacity, ledger, worker} = this.options;
    const sum: Resources = {processors: 0, memoryMegabytes: 0, accelerators: 0};
    for (const task of this.running()) {
      sum.processors += task.resources.processors;
      sum.memoryMegabytes += task.resources.memoryMegabytes;
      sum.accelerators += task.resources.accelerators;
    }
    // Tolerates rounding errors in sums of fractional processors.
    const tolerance = 1e-6;
    const isOverCapacity =
      sum.processors > capacity.processors + tolerance ||
      sum.memoryMegabytes > capacity.memoryMegabytes + tolerance ||
      sum.accelerators > capacity.accelerators;
    if (isOverCapacity) ledger.overCommitted(worker, JSON.stringify(sum));
  }

  private incarnationName(): string {
    return `${this.options.worker}#${this.incarnation}`;
  }

  private report(refusal?: WorkerRefusal): WorkerReport {
    const tasks = refusal === 'epoch' ? [] : [...this.tasks.values()];
    return {
      worker: this.options.worker,
      incarnation: this.incarnationName(),
      clockMs: this.clockMs(),
      capacity: this.options.capacity,
      leaving: this.leaving,
      refusal,
      tasks: tasks.map(toReportedTask),
    };
  }
}

function parseProgress(checkpoint: string): number {
  return Number(checkpoint.slice(checkpoint.lastIndexOf('@') + 1));
}

function toReportedTask(task: RunningTask): WorkerTask {
  const {taskId, state, kind, resources, usage, progress, speed} = task;
  const {throttle, leaseUntilMs, checkpoint, failure} = task;
  return {
    taskId,
    state,
    kind,
    resources,
    usage,
    progress,
    speed,
    throttle,
    leaseUntilMs,
    checkpoint,
    failure,
  };
}
