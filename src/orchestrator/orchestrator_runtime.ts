import {Clock} from '../clock/clock.js';
import {CommitLog} from '../leadership/commit_log.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {MetadataStore} from '../store/metadata_store.js';
import {Configuration} from '../work/configuration.js';
import {JobPhase} from '../work/job_definition.js';
import {ProgressRecord} from '../work/job_records.js';
import {JobEntry, JobTable} from '../work/job_table.js';
import {decodeStoredProgress, StoredProgress} from '../work/stored_progress.js';
import {WorkerRegistration} from '../work/worker_registration.js';
import {AdvicePort, AdviceRequest} from './workers/advice_port.js';
import {CommitLoop} from './jobs/commit_loop.js';
import {JobExplanation} from './jobs/job_explanation.js';
import {restoreProgress} from './jobs/job_progress.js';
import {JobOrder} from './jobs/job_order.js';
import {JobState} from './jobs/job_state.js';
import {CommandSender} from './workers/command_sender.js';
import {EventLoopDelay} from './event_loop_delay.js';
import {Orchestrator} from './orchestrator.js';
import {OrchestratorEvent} from './orchestrator_event.js';
import {RunTimeEstimates} from './runs/run_time_estimates.js';
import {StartGuardOptions} from './runs/start_guard.js';
import {WaitSummary} from './jobs/wait_monitor.js';
import {WorkerPort} from './workers/worker_port.js';
import {WorkerSession} from './workers/worker_session.js';
import {WorkerState} from './workers/worker_state.js';

/** Options of {@link OrchestratorRuntime}. */
export interface OrchestratorRuntimeOptions extends StartGuardOptions {
  clock: Clock;
  log: NodeLog;
  store: MetadataStore;
  port: WorkerPort;
  advice: AdvicePort;
  keys: PartitionKeys;
  table: JobTable;
  term: OwnerTerm;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Retention time in ms of finished jobs. */
  keepFinishedMs: number;
  /** @default a {@link DeadlineOrder} on declared run times */
  order?: JobOrder;
  /** Learns run times. @default not learned */
  estimates?: RunTimeEstimates;
  /**
   * Whether fewer starts that are not urgent are open while answers to starts
   * are late. @default false
   */
  adaptsStarts?: boolean;
  /**
   * Whether room is held for tasks that are too large for the gaps; needs
   * {@link estimates}. @default false
   */
  looksAhead?: boolean;
  /**
   * Whether most passes look at urgent jobs only while many jobs wait.
   * @default false
   */
  hasUrgentPasses?: boolean;
  /** Counts an event in the metrics. @default not counted */
  countEvent?: (event: OrchestratorEvent) => void;
}

/** State with which a term starts; must be current for the term. */
export interface InitialState {
  configuration: Configuration | undefined;
  workers: Iterable<WorkerRegistration>;
  /** Data centres whose workers are given no start. */
  evacuations: ReadonlySet<string>;
  /** Progress by job id, as the store holds it. */
  progress: ReadonlyMap<string, StoredProgress>;
}

/** Delay in ms to batch events before a scheduling pass. */
const SCHEDULE_DELAY_MS = 6;

/** Interval in ms between ticks. */
const TICK_MS = 150;

/** Interval in ms between log lines about the load of this process. */
const LOAD_LOG_INTERVAL_MS = 1000;

/** Connects an {@link Orchestrator} to store, workers and clock for one term. */
export class OrchestratorRuntime {
  private readonly orchestrator: Orchestrator;
  private readonly commands: CommandSender;
  private readonly commitLoop: CommitLoop;
  private readonly sessions = new Map<WorkerState, WorkerSession>();
  private readonly delay = new EventLoopDelay();
  /** Time in ms spent in each operation since the last log line. */
  private readonly spentMs = new Map<string, number>();
  private loadLogMs = -Infinity;
  private tickTimer: NodeJS.Timeout | undefined;
  private scheduleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: OrchestratorRuntimeOptions) {
    this.commands = new CommandSender({
      ...options,
      onStart: (task, run, outcome) => {
        this.orchestrator.handleStartOutcome(task, run, outcome);
        if (outcome.kind !== 'done') this.requestScheduling();
      },
      onStop: (task, run, outcome) =>
        this.orchestrator.handleStopOutcome(task, run, outcome),
    });
    this.orchestrator = this.createOrchestrator();
    this.commitLoop = this.createCommitLoop();
    options.term.onEnd(() => this.stop());
  }

  /** Starts with the jobs of the table, which must be current for this term. */
  start(initial: InitialState): void {
    const {configuration, workers, evacuations, progress} = initial;
    const {table, log, term} = this.options;
    this.orchestrator.setEvacuations(evacuations);
    if (configuration) this.orchestrator.configure(configuration);
    for (const worker of workers) this.upsertWorker(worker);
    for (const [jobId, entry] of table.entries) {
      this.restoreJob(jobId, entry, progress.get(jobId));
    }
    table.setListener({
      onSubmitted: (_jobId, entry) => this.addJob(entry),
      onCancelled: (jobId) => this.orchestrator.cancel(jobId),
    });
    this.tickTimer = setInterval(() => this.tick(), TICK_MS);
    log.logDecision('orchestrator-start', {
      term: term.token,
      jobs: this.orchestrator.jobs.size,
      workers: this.orchestrator.workers.size,
    });
  }

  /** Returns the number of jobs in a queue of which no task has started. */
  countPending(queue: string): number {
    return this.orchestrator.countPending(queue);
  }

  /** Explains why a job runs or waits; undefined if it is not known. */
  explain(jobId: string): JobExplanation | undefined {
    return this.orchestrator.explain(jobId);
  }

  /** Jobs that could run and do not, as of the latest summary. */
  get waitSummary(): WaitSummary {
    return this.orchestrator.waitSummary;
  }

  /** Replaces the configuration. */
  configure(configuration: Configuration): void {
    this.orchestrator.configure(configuration);
    this.requestScheduling();
  }

  /** Replaces the data centres whose workers are given no start. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.orchestrator.setEvacuations(dataCentres);
    this.requestScheduling();
  }

  /** Returns the number of tasks that are or may be active in a data centre. */
  countTasksIn(dataCentre: string): number {
    let count = 0;
    for (const {registration, tasks} of this.orchestrator.workers.values()) {
      if (registration.dataCentre === dataCentre) count += tasks.size;
    }
    return count;
  }

  /** Adds a worker or updates its registration. */
  upsertWorker(registration: WorkerRegistration): void {
    this.orchestrator.upsertWorker(registration);
    this.syncSessions();
    this.requestScheduling();
  }

  /** Handles the removal of a worker registration. */
  unregisterWorker(id: string): void {
    this.orchestrator.unregisterWorker(id);
  }

  private get isBehind(): boolean {
    return this.delay.isBehind(this.options.clock.nowMs());
  }

  private createOrchestrator(): Orchestrator {
    const {term} = this.options;
    return new Orchestrator({
      ...this.options,
      isBehind: () => this.isBehind,
      previousTermLeaseMs: term.leaseMs,
      effects: {
        start: (task, worker) => void this.commands.start(task, worker),
        stop: (task, worker) => void this.commands.stop(task, worker),
        stopOrphanRun: (run, worker) =>
          void this.commands.stopOrphanRun(run, worker),
        setSpeedLimit: (task, worker) =>
          void this.commands.setSpeedLimit(task, worker),
        requestAdvice: (question) => void this.requestAdvice(question),
        publishPhases: (phases) => this.recordPhases(phases),
        requestCommit: () => this.commitLoop.request(),
      },
    });
  }

  private async requestAdvice(request: AdviceRequest): Promise<void> {
    const {advice, clock, term} = this.options;
    const sentMs = clock.nowMs();
    const outcome = await advice.query(request);
    if (term.isOver) return;
    this.orchestrator.handleAdvice(outcome, sentMs);
    this.requestScheduling();
  }

  private createCommitLoop(): CommitLoop {
    const {store, log, keys, term} = this.options;
    return new CommitLoop({
      commitLogs: keys.heads.map(
        (headKey) =>
          new CommitLog({
            store,
            log,
            headKey,
            ownerKey: keys.owner,
            token: term.token,
            headRevision: term.token,
          }),
      ),
      hasPending: () => this.orchestrator.hasPending,
      takePending: () =>
        this.timed('take', () => this.orchestrator.takePending()),
      onFenced: (error) => void term.abandon(error.message),
    });
  }

  private stop(): void {
    this.options.table.setListener(undefined);
    clearInterval(this.tickTimer);
    clearTimeout(this.scheduleTimer);
    this.commitLoop.stop();
    for (const session of this.sessions.values()) session.stop();
    this.sessions.clear();
  }

  private recordPhases(
    phases: ReadonlyArray<[jobId: string, phase: JobPhase]>,
  ): void {
    for (const [jobId, phase] of phases) {
      this.options.table.recordPhase(jobId, phase);
    }
  }

  /**
   * Adds a job with its stored progress. A job that cannot be restored is left
   * out: its tasks may be running, so none may be started.
   */
  private restoreJob(
    jobId: string,
    entry: JobEntry,
    progress: StoredProgress | undefined,
  ): void {
    try {
      this.addJob(entry, progress && decodeStoredProgress(progress));
    } catch (error) {
      const failure = error as Error;
      this.options.log.logError('progress-unreadable', failure, {
        job: jobId,
      });
    }
  }

  private addJob(entry: JobEntry, progress?: ProgressRecord): void {
    const {submission, isCancelled} = entry;
    if (!submission) return;
    const {definition, acceptedWallMs} = submission;
    const job = new JobState(definition, acceptedWallMs);
    if (progress) {
      restoreProgress(job, progress);
      this.options.table.recordPhase(definition.id, progress.phase);
    }
    this.orchestrator.addJob(job);
    if (isCancelled) this.orchestrator.cancel(definition.id);
    this.requestScheduling();
  }

  private requestScheduling(): void {
    if (this.options.term.isOver) return;
    const dueMs = this.options.clock.nowMs() + SCHEDULE_DELAY_MS;
    this.scheduleTimer ??= setTimeout(() => {
      this.scheduleTimer = undefined;
      this.delay.record(dueMs, this.options.clock.nowMs());
      this.runLogged('schedule', () => this.orchestrator.schedule());
    }, SCHEDULE_DELAY_MS);
  }

  private tick(): void {
    this.runLogged('tick', () => this.orchestrator.tick());
    this.syncSessions();
    this.requestScheduling();
    this.logLoad();
  }

  /** Logs how far this process is behind, and where its time went. */
  private logLoad(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.loadLogMs < LOAD_LOG_INTERVAL_MS) return;
    this.loadLogMs = nowMs;
    this.options.log.logSummary('owner-load', {
      delayMs: Math.round(this.delay.delayMs(nowMs)),
      openStarts: this.orchestrator.openStarts,
      registrationAgeMs: Math.round(this.options.registrationAgeMs?.() ?? 0),
      spentMs: Object.fromEntries(
        [...this.spentMs].map(([name, spent]) => [name, Math.round(spent)]),
      ),
    });
    this.spentMs.clear();
  }

  private timed<T>(operation: string, action: () => T): T {
    const {clock} = this.options;
    const startMs = clock.nowMs();
    try {
      return action();
    } finally {
      const spent = this.spentMs.get(operation) ?? 0;
      this.spentMs.set(operation, spent + clock.nowMs() - startMs);
    }
  }

  /**
   * Logs an unexpected error instead of ending the process: its successor would
   * meet the same error.
   */
  private runLogged(operation: string, action: () => void): void {
    try {
      this.timed(operation, action);
    } catch (error) {
      const failure = error as Error;
      this.options.log.logError('orchestrator-failed', failure, {operation});
    }
  }

  /** Opens and closes sessions to match the workers of the orchestrator. */
  private syncSessions(): void {
    const {workers} = this.orchestrator;
    for (const worker of workers.values()) {
      if (!this.sessions.has(worker)) this.openSession(worker);
    }
    for (const [worker, session] of this.sessions) {
      if (workers.get(worker.registration.id) === worker) continue;
      session.stop();
      this.sessions.delete(worker);
    }
  }

  private openSession(worker: WorkerState): void {
    const session = new WorkerSession({
      ...this.options,
      orchestrator: this.orchestrator,
      worker,
      whenCommitted: () => this.commitLoop.whenCommitted(),
      onChange: () => this.requestScheduling(),
      isBehind: () => this.isBehind,
    });
    this.sessions.set(worker, session);
    void session.run();
  }
}
