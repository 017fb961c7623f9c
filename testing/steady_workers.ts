import {ManualClock} from '../src/clock/manual_clock.js';
import {JobState} from '../src/orchestrator/jobs/job_state.js';
import {AdviceRequest} from '../src/orchestrator/workers/advice_port.js';
import {Orchestrator} from '../src/orchestrator/orchestrator.js';
import {TaskState} from '../src/orchestrator/runs/task_state.js';
import {RunningReport} from '../src/orchestrator/workers/worker_port.js';
import {Configuration} from '../src/work/configuration.js';
import {JobDefinition} from '../src/work/job_definition.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';
import {applyPending} from './apply_pending.js';
import {createOrchestrator} from './create_orchestrator.js';
import {idleEffects} from './idle_effects.js';
import {simpleConfiguration} from './simple_definitions.js';

/** Options of {@link SteadyWorkers}. */
export interface SteadyWorkersOptions {
  /** Registrations of the workers. */
  workers: readonly WorkerRegistration[];
  /** @default a {@link simpleConfiguration} */
  configuration?: Configuration;
  /**
   * Returns the gauge of a running task: the tail latency of a latency-critical
   * task in ms, or the CPU use of another one.
   *
   * @default no gauges
   */
  gaugeOf?: (task: TaskState) => number | undefined;
  /** Returns whether a running task makes no progress. @default none does */
  isStuck?: (task: TaskState) => boolean;
  /**
   * Returns the tickets for an advice request by worker id.
   *
   * @default no worker is allowed
   */
  ticketsFor?: (request: AdviceRequest) => ReadonlyMap<string, string>;
}

/** Time in ms between two rounds of reports, scheduling and commits. */
const ROUND_MS = 50;

/** Time in ms between two reports of a worker. */
const REPORT_INTERVAL_MS = 500;

/** Lease in ms that each report extends. */
const LEASE_MS = 6000;

/** Validity in ms of the tickets of the advice service. */
const TICKET_VALIDITY_MS = 3000;

/**
 * An orchestrator with workers and a store that never fail. Started tasks run
 * until they are stopped, so that a task that keeps waiting does so for a
 * reason of the orchestrator.
 */
export class SteadyWorkers {
  readonly clock = new ManualClock({startMs: 10_000, wallStartMs: 1_000_000});
  readonly orchestrator: Orchestrator;
  /** Names of the tasks of which a start was sent, in order. */
  readonly starts: string[] = [];
  /** Time in ms of the first start of each task. */
  readonly startedMs = new Map<string, number>();
  /** Speed limits sent, in order. */
  readonly speedLimits: Array<{task: string; percent: number}> = [];
  private readonly running = new Map<string, Set<TaskState>>();
  private readonly started: TaskState[] = [];
  private readonly requests: AdviceRequest[] = [];

  constructor(private readonly options: SteadyWorkersOptions) {
    this.orchestrator = createOrchestrator({
      clock: this.clock,
      keepFinishedMs: 3_600_000,
      effects: idleEffects({
        start: (task) => this.started.push(task),
        stop: (task, worker) => {
          this.running.get(worker.registration.id)?.delete(task);
          const outcome = {kind: 'done', clockMs: this.clock.nowMs()} as const;
          this.orchestrator.handleStopOutcome(task, task.run, outcome);
        },
        setSpeedLimit: ({name, speedLimitPercent}) =>
          this.speedLimits.push({task: name, percent: speedLimitPercent}),
        requestAdvice: (request) => this.requests.push(request),
      }),
    });
    this.orchestrator.configure(options.configuration ?? simpleConfiguration());
    for (const worker of options.workers) this.register(worker);
    this.advance(REPORT_INTERVAL_MS);
  }

  /** Adds a worker or changes its registration, such as its capacity. */
  register(registration: WorkerRegistration): void {
    this.orchestrator.upsertWorker(registration);
    if (!this.running.has(registration.id)) {
      this.running.set(registration.id, new Set());
    }
  }

  /** Submits a job. */
  submit(definition: JobDefinition): void {
    const job = new JobState(definition, this.clock.wallMs());
    this.orchestrator.addJob(job);
  }

  /** Returns the names of the tasks that run on a worker. */
  runningOn(worker: string): string[] {
    return [...(this.running.get(worker) ?? [])].map(({name}) => name);
  }

  /** Advances the time; reports, scheduling and commits happen meanwhile. */
  advance(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += ROUND_MS) {
      this.clock.advance(ROUND_MS);
      if (this.clock.nowMs() % REPORT_INTERVAL_MS === 0) this.report();
      this.orchestrator.tick();
      this.orchestrator.schedule();
      this.answerAdvice();
      while (this.orchestrator.hasPending) {
        applyPending(this.orchestrator.takePending());
      }
      for (const task of this.started.splice(0)) this.confirm(task);
    }
  }

  private report(): void {
    for (const worker of this.orchestrator.workers.values()) {
      const nowMs = this.clock.nowMs();
      const tasks = this.running.get(worker.registration.id) ?? [];
      const running = [...tasks].map((task) => this.reportOf(task));
      const report = {clockMs: nowMs, bornMs: 1, running, ended: []};
      this.orchestrator.processReport(worker, report, nowMs);
      worker.recordLease(worker.leaseLimit(nowMs, LEASE_MS));
    }
  }

  private reportOf(task: TaskState): RunningReport {
    const gauge = this.options.gaugeOf?.(task);
    const percent = this.percentOf(task);
    return {task: task.name, run: task.run, checkpoint: '', percent, gauge};
  }

  private percentOf(task: TaskState): number {
    if (task.step.isLongRunning) return 100;
    if (this.options.isStuck?.(task)) return 0;
    // Progress in small steps, so that the task does not count as stuck.
    return (task.percent + 1) % 100;
  }

  private confirm(task: TaskState): void {
    this.starts.push(task.name);
    if (!this.startedMs.has(task.name)) {
      this.startedMs.set(task.name, this.clock.nowMs());
    }
    const id = task.assignment!.workerId;
    this.running.get(id)!.add(task);
    const outcome = {kind: 'done', clockMs: this.clock.nowMs()} as const;
    this.orchestrator.handleStartOutcome(task, task.run, outcome);
  }

  private answerAdvice(): void {
    const {ticketsFor = (): ReadonlyMap<string, string> => new Map()} =
      this.options;
    for (const request of this.requests.splice(0)) {
      const outcome = {
        kind: 'advice',
        tickets: ticketsFor(request),
        validForMs: TICKET_VALIDITY_MS,
      } as const;
      this.orchestrator.handleAdvice(outcome, this.clock.nowMs());
    }
  }
}
