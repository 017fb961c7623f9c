import {Clock} from '../clock/clock.js';
import {CommitLog} from '../leadership/commit_log.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {MetadataStore} from '../store/metadata_store.js';
import {Configuration} from '../work/configuration.js';
import {JobPhase} from '../work/job_definition.js';
import {JobEntry, JobTable} from '../work/job_table.js';
import {WorkerEntry} from '../work/worker_entry.js';
import {AdvicePort, AdviceQuestion} from './advice_port.js';
import {CommitLoop} from './commit_loop.js';
import {restoreProgress} from './job_progress.js';
import {JobState} from './job_state.js';
import {OrderSender} from './order_sender.js';
import {Orchestrator} from './orchestrator.js';
import {WorkerPort} from './worker_port.js';
import {WorkerSession} from './worker_session.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link OrchestratorRuntime}. */
export interface OrchestratorRuntimeOptions {
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
  /** Time in ms for which a finished job stays known. */
  keepFinishedMs: number;
  /** Called with phases that are stored. */
  onPhases: (phases: ReadonlyArray<[jobId: string, phase: JobPhase]>) => void;
}

/** Pause in ms in which events gather before tasks are assigned. */
const SCHEDULE_GATHER_MS = 6;

/** Time in ms between checks of what is due. */
const TICK_MS = 150;

/** Runs an {@link Orchestrator} for one term. */
export class OrchestratorRuntime {
  private readonly orchestrator: Orchestrator;
  private readonly orders: OrderSender;
  private readonly commits: CommitLoop;
  private readonly sessions = new Map<WorkerState, WorkerSession>();
  private ticker: NodeJS.Timeout | undefined;
  private scheduleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: OrchestratorRuntimeOptions) {
    this.orders = new OrderSender({
      ...options,
      onStart: (task, run, outcome) => {
        this.orchestrator.noteStart(task, run, outcome);
        if (outcome.kind !== 'done') this.scheduleSoon();
      },
      onStop: (task, run, outcome) =>
        this.orchestrator.noteStop(task, run, outcome),
    });
    this.orchestrator = this.createOrchestrator();
    this.commits = this.createCommits();
    options.term.onEnd(() => this.stop());
  }

  /** Takes over the jobs of the table, which is current for this term. */
  start(
    configuration: Configuration | undefined,
    workers: Iterable<WorkerEntry>,
  ): void {
    const {table, log, term} = this.options;
    if (configuration) this.orchestrator.configure(configuration);
    for (const worker of workers) this.seeWorker(worker);
    for (const entry of table.entries.values()) this.addJob(entry);
    table.listen({
      onSubmitted: (_jobId, entry) => this.addJob(entry),
      onCancelled: (jobId) => this.orchestrator.cancel(jobId),
    });
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    log.decide('orchestrator-start', {
      term: term.token,
      jobs: this.orchestrator.jobs.size,
      workers: this.orchestrator.workers.size,
    });
  }

  /** Replaces the configuration. */
  configure(configuration: Configuration): void {
    this.orchestrator.configure(configuration);
    this.scheduleSoon();
  }

  /** Learns of a worker's registration. */
  seeWorker(entry: WorkerEntry): void {
    this.orchestrator.seeWorker(entry);
    this.ensureSessions();
    this.scheduleSoon();
  }

  /** Learns that a worker's registration is gone. */
  loseWorker(id: string): void {
    this.orchestrator.loseWorker(id);
  }

  private createOrchestrator(): Orchestrator {
    const {term} = this.options;
    return new Orchestrator({
      ...this.options,
      earlierTermMs: term.leaseMs,
      effects: {
        start: (task, worker) => void this.orders.start(task, worker),
        stop: (task, worker) => void this.orders.stop(task, worker),
        stopStray: (run, worker) => void this.orders.stopStray(run, worker),
        pace: (task, worker) => void this.orders.pace(task, worker),
        askAdvice: (question) => void this.askAdvice(question),
        phasesStored: (phases) => this.options.onPhases(phases),
        commitSoon: () => this.commits.request(),
      },
    });
  }

  private async askAdvice(question: AdviceQuestion): Promise<void> {
    const {advice, clock, term} = this.options;
    const sentMs = clock.nowMs();
    const outcome = await advice.ask(question);
    if (term.isOver) return;
    this.orchestrator.noteAdvice(outcome, sentMs);
    this.scheduleSoon();
  }

  private createCommits(): CommitLoop {
    const {store, log, keys, term} = this.options;
    return new CommitLoop({
      commitLog: new CommitLog({
        store,
        log,
        headKey: keys.head,
        token: term.token,
        headRevision: term.token,
      }),
      hasUnstored: () => this.orchestrator.hasUnstored,
      takeUnstored: () => this.orchestrator.takeUnstored(),
      onFenced: (error) => void term.abandon(error.message),
    });
  }

  private stop(): void {
    this.options.table.listen(undefined);
    clearInterval(this.ticker);
    clearTimeout(this.scheduleTimer);
    this.commits.stop();
    for (const session of this.sessions.values()) session.stop();
    this.sessions.clear();
  }

  private addJob(entry: JobEntry): void {
    const {submission, progress, isCancelled} = entry;
    if (!submission) return;
    const job = new JobState(submission.definition, submission.acceptedWallMs);
    if (progress) restoreProgress(job, progress);
    this.orchestrator.addJob(job);
    if (isCancelled) this.orchestrator.cancel(submission.definition.id);
    this.scheduleSoon();
  }

  private scheduleSoon(): void {
    if (this.options.term.isOver) return;
    this.scheduleTimer ??= setTimeout(() => {
      this.scheduleTimer = undefined;
      this.orchestrator.schedule();
    }, SCHEDULE_GATHER_MS);
  }

  private tick(): void {
    this.orchestrator.tick();
    this.ensureSessions();
    this.scheduleSoon();
  }

  /** Each worker that is known has a session, and only those. */
  private ensureSessions(): void {
    const {workers} = this.orchestrator;
    for (const worker of workers.values()) {
      if (!this.sessions.has(worker)) this.openSession(worker);
    }
    for (const [worker, session] of this.sessions) {
      if (workers.get(worker.entry.id) === worker) continue;
      session.stop();
      this.sessions.delete(worker);
    }
  }

  private openSession(worker: WorkerState): void {
    const session = new WorkerSession({
      ...this.options,
      orchestrator: this.orchestrator,
      worker,
      whenStored: () => this.commits.whenStored(),
      onChange: () => this.scheduleSoon(),
    });
    this.sessions.set(worker, session);
    void session.run();
  }
}
