import {
  EndKind,
  EndReport,
  PollOutcome,
  CommandOutcome,
  RefusalReason,
  RunningReport,
} from '../src/orchestrator/workers/worker_port.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';

/** A running attempt of a task. */
interface Run {
  task: string;
  run: number;
  fencingToken: number;
  /** Clock reading in ms at which a stop ends it. @default not stopped */
  stopsMs?: number;
  /** Clock reading in ms at which it started. */
  startedMs: number;
}

/** Default of {@link SimulatedTaskWorkerOptions.mostEndsPerReport}. */
const MOST_ENDS_PER_REPORT = 500;

/** Options of {@link SimulatedTaskWorker}. */
export interface SimulatedTaskWorkerOptions {
  /** Registration; `bornMs` identifies the first incarnation. */
  registration: WorkerRegistration;
  /** Maximum lease in ms; longer ones are shortened to it. */
  longestLeaseMs: number;
  /** Rate of the worker's clock relative to simulated time. @default 1 */
  clockRate?: number;
  /** Time in ms from a stop command to the end of the run. @default 0 */
  stopMs?: number;
  /** Number of ends that one report lists; the others follow. @default 500 */
  mostEndsPerReport?: number;
  /**
   * Returns the progress in percent and the gauge that a run reports.
   *
   * @default 50 percent and no gauge
   */
  measure?: (
    task: string,
    ageMs: number,
  ) => Pick<RunningReport, 'percent' | 'gauge'>;
  /** Called when a run starts. */
  onStarted: (task: string, run: number) => void;
  /** Called when a run no longer executes, for whatever reason. */
  onRemoved: (task: string) => void;
  /**
   * Called when the end of a successful run is acknowledged, unless the
   * worker's lease has expired since the run ended.
   */
  onCompleted: (task: string, run: number) => void;
}

/**
 * In-memory worker for tests, with fencing, leases, numbered reports of ended
 * runs and a clock of its own.
 */
export class SimulatedTaskWorker {
  /** Identifies the incarnation of the worker. */
  bornMs: number;
  /** True from a crash to the start of the next incarnation. */
  isDown = false;
  private highestToken = 0;
  private clockMs = 1000;
  private leaseUntilMs = 0;
  private nextSequence = 1;
  private unacknowledgedEnds: EndReport[] = [];
  /** Highest sequence number of an end when a lease last expired. */
  private lastSequenceAtLeaseEnd = 0;
  private readonly runs = new Map<string, Run>();
  private readonly highestEndedRuns = new Map<string, number>();

  constructor(private readonly options: SimulatedTaskWorkerOptions) {
    this.bornMs = options.registration.bornMs;
  }

  /** Names of the running tasks. */
  get running(): readonly string[] {
    return [...this.runs.keys()];
  }

  /** Ends the process with all its runs; no command is executed from then on. */
  crash(): void {
    this.isDown = true;
    for (const name of this.running) this.options.onRemoved(name);
    this.runs.clear();
  }

  /** Advances the worker's clock; an expired lease ends all runs. */
  advance(durationMs: number): void {
    this.clockMs += durationMs * (this.options.clockRate ?? 1);
    for (const {task, stopsMs = Infinity} of [...this.runs.values()]) {
      if (this.clockMs >= stopsMs) this.endRun(task, EndKind.STOPPED);
    }
    if (this.clockMs < this.leaseUntilMs) return;
    this.lastSequenceAtLeaseEnd = this.nextSequence - 1;
    for (const name of this.running) this.endRun(name, EndKind.LEASE_ENDED);
  }

  /** Starts a new incarnation, which knows nothing of the previous one. */
  restart(bornMs: number): void {
    this.isDown = false;
    for (const name of this.running) this.options.onRemoved(name);
    this.runs.clear();
    this.highestEndedRuns.clear();
    this.unacknowledgedEnds = [];
    this.nextSequence = 1;
    this.lastSequenceAtLeaseEnd = 0;
    this.highestToken = 0;
    this.clockMs = 0;
    this.leaseUntilMs = 0;
    this.bornMs = bornMs;
  }

  /** Ends the run of a task if there is one, as when it ends on its own. */
  finish(task: string, kind: EndKind): void {
    if (this.runs.has(task)) this.endRun(task, kind);
  }

  /** Starts a run; a repeated command for the same run has no effect. */
  start(command: {
    task: string;
    run: number;
    leaseUntilMs: number;
    fencingToken: number;
  }): CommandOutcome {
    if (!this.acceptToken(command.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    if (command.leaseUntilMs <= this.clockMs) {
      return {kind: 'refused', reason: RefusalReason.LATE};
    }
    this.extendLease(command.leaseUntilMs);
    const current = this.runs.get(command.task);
    if (current?.run === command.run) return {kind: 'done'};
    const highest = this.highestEndedRuns.get(command.task) ?? 0;
    if (current || command.run <= highest) {
      return {kind: 'refused', reason: RefusalReason.OLD_RUN};
    }
    const startedMs = this.clockMs;
    this.runs.set(command.task, {...command, startedMs});
    this.options.onStarted(command.task, command.run);
    return {kind: 'done', clockMs: this.clockMs};
  }

  /** Stops a run and refuses later starts of it. */
  stop(command: {
    task: string;
    run: number;
    fencingToken: number;
  }): CommandOutcome {
    if (!this.acceptToken(command.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    const highest = this.highestEndedRuns.get(command.task) ?? 0;
    this.highestEndedRuns.set(command.task, Math.max(highest, command.run));
    const current = this.runs.get(command.task);
    const {stopMs = 0} = this.options;
    if (current?.run !== command.run) return {kind: 'done'};
    if (stopMs === 0) this.endRun(command.task, EndKind.STOPPED);
    else current.stopsMs ??= this.clockMs + stopMs;
    return {kind: 'done'};
  }

  /**
   * Drops the ends up to `acknowledgedSequence`, extends the lease and reports
   * running and ended runs.
   */
  poll(query: {
    fencingToken: number;
    acknowledgedSequence: number;
    leaseUntilMs?: number;
  }): PollOutcome {
    if (!this.acceptToken(query.fencingToken)) {
      return {kind: 'refused', reason: RefusalReason.FENCED};
    }
    this.acknowledge(query.acknowledgedSequence);
    if (query.leaseUntilMs !== undefined) this.extendLease(query.leaseUntilMs);
    const running = [...this.runs.values()].map((run) => this.reportOf(run));
    const {clockMs, bornMs} = this;
    const {mostEndsPerReport = MOST_ENDS_PER_REPORT} = this.options;
    const ended = this.unacknowledgedEnds.slice(0, mostEndsPerReport);
    const mayOmitEnds = ended.length >= mostEndsPerReport;
    return {
      kind: 'report',
      report: {clockMs, bornMs, running, ended, mayOmitEnds},
    };
  }

  private reportOf({task, run, startedMs}: Run): RunningReport {
    const {measure = () => ({percent: 50, gauge: undefined})} = this.options;
    const {percent, gauge} = measure(task, this.clockMs - startedMs);
    return {task, run, checkpoint: '', percent, gauge};
  }

  private acknowledge(acknowledgedSequence: number): void {
    for (const {sequence, task, run, kind} of this.unacknowledgedEnds) {
      const isValid =
        sequence <= acknowledgedSequence &&
        sequence > this.lastSequenceAtLeaseEnd;
      if (isValid && kind === EndKind.DONE) this.options.onCompleted(task, run);
    }
    this.unacknowledgedEnds = this.unacknowledgedEnds.filter(
      ({sequence}) => sequence > acknowledgedSequence,
    );
  }

  /** Returns false if a higher fencing token has been seen. */
  private acceptToken(token: number): boolean {
    if (token < this.highestToken) return false;
    this.highestToken = token;
    return true;
  }

  private extendLease(leaseUntilMs: number): void {
    const limitMs = this.clockMs + this.options.longestLeaseMs;
    this.leaseUntilMs = Math.max(
      this.leaseUntilMs,
      Math.min(leaseUntilMs, limitMs),
    );
  }

  private endRun(task: string, kind: EndKind): void {
    const {run} = this.runs.get(task)!;
    this.runs.delete(task);
    const highest = this.highestEndedRuns.get(task) ?? 0;
    this.highestEndedRuns.set(task, Math.max(highest, run));
    this.unacknowledgedEnds.push({
      sequence: this.nextSequence++,
      task,
      run,
      kind,
      checkpoint: '',
    });
    this.options.onRemoved(task);
  }
}
