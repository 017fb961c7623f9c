import {
  EndKind,
  EndReport,
  PollOutcome,
  CommandOutcome,
  RefusalReason,
  RunningReport,
} from '../src/orchestrator/worker_port.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';

interface Run {
  task: string;
  run: number;
  fencingToken: number;
}

/** Options of {@link SimulatedTaskWorker}. */
export interface SimulatedTaskWorkerOptions {
  entry: WorkerRegistration;
  /** Longest lease in ms. */
  longestLeaseMs: number;
  /** Speed of its clock as a share of true time. @default 1 */
  clockSpeed?: number;
  /** Called when a run begins. */
  onBegin: (task: string, run: number) => void;
  /** Called when a run is gone. */
  onGone: (task: string) => void;
  /**
   * Called when an end with success is acknowledged, unless the lease has run
   * out since it.
   */
  onNoted: (task: string, run: number) => void;
}

/** A worker with fencing, leases, numbered ends and its own clock; for tests. */
export class SimulatedTaskWorker {
  bornMs: number;
  private fence = 0;
  private clockMs = 1000;
  private leaseUntilMs = 0;
  private nextEnd = 1;
  private ends: EndReport[] = [];
  /** Ends up to this one are older than the end of a lease. */
  private lapsedEnd = 0;
  private readonly runs = new Map<string, Run>();
  private readonly highestEnded = new Map<string, number>();

  constructor(private readonly options: SimulatedTaskWorkerOptions) {
    this.bornMs = options.entry.bornMs;
  }

  /** Tasks that run here. */
  get running(): readonly string[] {
    return [...this.runs.keys()];
  }

  /** Lets true time pass. */
  advance(durationMs: number): void {
    this.clockMs += durationMs * (this.options.clockSpeed ?? 1);
    if (this.clockMs < this.leaseUntilMs) return;
    this.lapsedEnd = this.nextEnd - 1;
    for (const name of this.running) this.end(name, EndKind.LEASE_ENDED);
  }

  /** Begins a new life: nothing of before is known. */
  restart(bornMs: number): void {
    for (const name of this.running) this.options.onGone(name);
    this.runs.clear();
    this.highestEnded.clear();
    this.ends = [];
    this.nextEnd = 1;
    this.lapsedEnd = 0;
    this.fence = 0;
    this.clockMs = 0;
    this.leaseUntilMs = 0;
    this.bornMs = bornMs;
  }

  /** Ends a run by itself. */
  finish(task: string, kind: EndKind): void {
    if (this.runs.has(task)) this.end(task, kind);
  }

  start(order: {
    task: string;
    run: number;
    leaseUntilMs: number;
    fencingToken: number;
  }): CommandOutcome {
    if (!this.raiseFence(order.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    if (order.leaseUntilMs <= this.clockMs) {
      return {kind: 'refused', reason: RefusalReason.LATE};
    }
    this.extend(order.leaseUntilMs);
    const known = this.runs.get(order.task);
    if (known?.run === order.run) return {kind: 'done'};
    const highest = this.highestEnded.get(order.task) ?? 0;
    if (known || order.run <= highest) {
      return {kind: 'refused', reason: RefusalReason.OLD_RUN};
    }
    this.runs.set(order.task, {...order});
    this.options.onBegin(order.task, order.run);
    return {kind: 'done', clockMs: this.clockMs};
  }

  stop(order: {
    task: string;
    run: number;
    fencingToken: number;
  }): CommandOutcome {
    if (!this.raiseFence(order.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    const highest = this.highestEnded.get(order.task) ?? 0;
    this.highestEnded.set(order.task, Math.max(highest, order.run));
    if (this.runs.get(order.task)?.run === order.run) {
      this.end(order.task, EndKind.STOPPED);
    }
    return {kind: 'done'};
  }

  look(order: {
    fencingToken: number;
    acknowledgedEnd: number;
    leaseUntilMs?: number;
  }): PollOutcome {
    if (!this.raiseFence(order.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    this.acknowledge(order.acknowledgedEnd);
    if (order.leaseUntilMs !== undefined) this.extend(order.leaseUntilMs);
    const running: RunningReport[] = [...this.runs.values()].map(
      ({task, run}) => ({
        task,
        run,
        checkpoint: '',
        percent: 50,
        gauge: undefined,
      }),
    );
    const {clockMs, bornMs} = this;
    return {
      kind: 'report',
      report: {clockMs, bornMs, running, ended: [...this.ends]},
    };
  }

  private acknowledge(end: number): void {
    for (const {sequence, task, run, kind} of this.ends) {
      const isNoted = sequence <= end && sequence > this.lapsedEnd;
      if (isNoted && kind === EndKind.DONE) this.options.onNoted(task, run);
    }
    this.ends = this.ends.filter(({sequence}) => sequence > end);
  }

  private raiseFence(token: number): boolean {
    if (token < this.fence) return false;
    this.fence = token;
    return true;
  }

  private extend(leaseUntilMs: number): void {
    const limitMs = this.clockMs + this.options.longestLeaseMs;
    this.leaseUntilMs = Math.max(
      this.leaseUntilMs,
      Math.min(leaseUntilMs, limitMs),
    );
  }

  private end(task: string, kind: EndKind): void {
    const {run} = this.runs.get(task)!;
    this.runs.delete(task);
    const highest = this.highestEnded.get(task) ?? 0;
    this.highestEnded.set(task, Math.max(highest, run));
    this.ends.push({sequence: this.nextEnd++, task, run, kind, checkpoint: ''});
    this.options.onGone(task);
  }
}
