import {Clock} from '../clock/clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {Configuration} from '../work/configuration.js';
import {JobPhase} from '../work/job_definition.js';
import {WorkerRegistration} from '../work/worker_registration.js';
import {AdviceOutcome} from './workers/advice_port.js';
import {
  DeadlineOrder,
  durationOf,
  JobOrder,
  objectiveMs,
} from './jobs/job_order.js';
import {blockRefusingWorker} from './workers/block_refusing_worker.js';
import {beginAssignment} from './runs/begin_assignment.js';
import {BestEffortController} from './placement/best_effort_controller.js';
import {CrashEvidence, CrashTracker} from './suspicion/crash_tracker.js';
import {JobExplainer} from './jobs/job_explainer.js';
import {JobExplanation} from './jobs/job_explanation.js';
import {JobEndings} from './jobs/job_endings.js';
import {JobIndex} from './jobs/job_index.js';
import {HeldTasks, isAnyPlaced} from './runs/held_tasks.js';
import {JobState, StepState} from './jobs/job_state.js';
import {OrchestratorEffects, PendingCommit} from './orchestrator_effects.js';
import {OrchestratorEvent} from './orchestrator_event.js';
import {OrphanRuns} from './workers/orphan_runs.js';
import {PendingChanges} from './jobs/pending_changes.js';
import {restartDelayMs} from './runs/restart_delay.js';
import {QueueTable} from './jobs/queue_table.js';
import {ReportProcessor} from './workers/report_processor.js';
import {RunStops} from './runs/run_stops.js';
import {RunTransitions} from './runs/run_transitions.js';
import {RunTimeEstimates} from './runs/run_time_estimates.js';
import {SchedulingTime} from './placement/scheduling_time.js';
import {SpeedLimits} from './workers/speed_limits.js';
import {
  StartGuard,
  StartGuardOptions,
  StartRefusal,
} from './runs/start_guard.js';
import {StuckRuns} from './runs/stuck_runs.js';
import {SummaryLog} from './jobs/summary_log.js';
import {StartWindow} from './placement/start_window.js';
import {StepAdvice} from './placement/step_advice.js';
import {StepContexts} from './placement/step_contexts.js';
import {InterferenceAwarePlacement} from './placement/interference_aware_placement.js';
import {TaskPlacement} from './placement/task_placement.js';
import {stepOf, TaskScheduler} from './placement/task_scheduler.js';
import {TaskState} from './runs/task_state.js';
import {WaitMonitor, WaitSummary} from './jobs/wait_monitor.js';
import {
  CommandOutcome,
  RefusalReason,
  WorkerReport,
} from './workers/worker_port.js';
import {WorkerRegistry} from './workers/worker_registry.js';
import {WorkerState} from './workers/worker_state.js';

/** Options of {@link Orchestrator}. */
export interface OrchestratorOptions extends StartGuardOptions {
  clock: Clock;
  log: NodeLog;
  keys: PartitionKeys;
  effects: OrchestratorEffects;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Retention time in ms of finished jobs. */
  keepFinishedMs: number;
  /** Time in ms for which a previous owner may still extend leases. */
  previousTermLeaseMs: number;
  /** @default a {@link DeadlineOrder} */
  order?: JobOrder;
  /**
   * Learns run times, which the order may rest on. @default objectives rest on
   * declared run times
   */
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
  /** @default an {@link InterferenceAwarePlacement} */
  placement?: TaskPlacement;
  /** Returns whether the process is behind with its events. @default never */
  isBehind?: () => boolean;
  /** Counts an event in the metrics. @default not counted */
  countEvent?: (event: OrchestratorEvent) => void;
}

/**
 * Decides which tasks run on which workers. Performs no I/O: events are passed
 * to its methods and commands go through {@link OrchestratorEffects}.
 */
export class Orchestrator {
  private readonly jobIndex = new JobIndex();
  private readonly queues = new QueueTable();
  private readonly registry: WorkerRegistry;
  private readonly tasks: HeldTasks;
  private readonly changes: PendingChanges;
  private readonly bestEffort = new BestEffortController();
  private readonly advice = new StepAdvice();
  private readonly startWindow: StartWindow;
  private readonly scheduler: TaskScheduler;
  private readonly explainer: JobExplainer;
  private readonly waits: WaitMonitor;
  private readonly reportProcessor: ReportProcessor;
  private readonly crashes: CrashTracker;
  private readonly speedLimits: SpeedLimits;
  private readonly runs: RunTransitions;
  private readonly stops: RunStops;
  private readonly endings: JobEndings;
  private readonly orphans: OrphanRuns;
  private readonly stuckRuns: StuckRuns;
  private readonly startGuard: StartGuard;
  private readonly summaries: SummaryLog;
  private configuration: Configuration | undefined;

  constructor(private readonly options: OrchestratorOptions) {
    this.registry = new WorkerRegistry({
      ...options,
      onRestart: (worker) =>
        this.crashes.recordCrash(worker, CrashEvidence.RESTARTED),
      onAssignmentChange: (task) => this.markTaskDirty(task),
    });
    this.crashes = new CrashTracker({
      ...options,
      workers: () => this.workers.values(),
      onCrash: () => options.countEvent?.(OrchestratorEvent.WORKER_CRASHED),
      onCounted: (task) => this.runs.handleCrashCount(task),
    });
    this.startWindow = new StartWindow(options.adaptsStarts);
    this.startGuard = new StartGuard(options);
    this.tasks = new HeldTasks({
      isUrgent: (job) => this.queues.isUrgent(job),
      onAdded: (task) => this.registerTask(task),
      onReleased: (step) => this.forgetStep(step),
    });
    this.speedLimits = new SpeedLimits({
      ...options,
      bestEffort: this.bestEffort,
    });
    this.stops = new RunStops({
      ...options,
      workerOf: (task) => this.workerOf(task),
    });
    this.endings = new JobEndings({
      ...options,
      jobs: this.jobIndex,
      tasks: this.tasks,
      stops: this.stops,
      objectiveMsOf: (job) => this.objectiveMsOf(job),
      onEnded: (job) => this.markDirty(job),
    });
    this.changes = new PendingChanges({
      keys: options.keys,
      queues: this.queues,
      onStart: (task) => this.sendStart(task),
      onPhases: (phases) => this.endings.publish(phases),
      onRecordTooLarge: (job) =>
        this.endings.end(job, JobPhase.FAILED, {cause: 'record-too-large'}),
    });
    this.runs = new RunTransitions({
      ...options,
      queues: this.queues,
      changes: this.changes,
      stops: this.stops,
      endings: this.endings,
      speedLimits: this.speedLimits,
      workerOf: (task) => this.workerOf(task),
      onJobChanged: (job) => this.markDirty(job),
      onTaskChanged: (task) => this.markTaskDirty(task),
    });
    this.orphans = new OrphanRuns({jobs: this.jobs, effects: options.effects});
    this.stuckRuns = new StuckRuns({
      workers: this.workers,
      onStuck: (task) => this.stops.request(task, 'no-progress'),
    });
    const {estimates, looksAhead = false} = options;
    const duration =
      estimates && looksAhead
        ? (task: TaskState) =>
            estimates.runMs(
              task.job.definition.queue,
              task.step,
              stepOf(task).runTimes,
            )
        : undefined;
    const decisions = {
      duration,
      workers: this.workers,
      placement:
        options.placement ?? new InterferenceAwarePlacement(this.bestEffort),
      advice: this.advice,
      queues: this.queues,
    };
    this.scheduler = new TaskScheduler({
      ...decisions,
      order: options.order ?? new DeadlineOrder(),
      countFreeStarts: (job) => this.countFreeStarts(job),
      isUrgent: options.hasUrgentPasses
        ? (job) => this.queues.isUrgent(job)
        : undefined,
      isBehind: options.isBehind,
      onAssign: (task, worker, run) => this.assign(task, worker, run),
      onWithdraw: (task) => this.withdraw(task),
      onMove: (task) => this.stops.request(task, 'slowed-down'),
      onJobError: (job, {message}) =>
        options.log.logDecision('job-not-scheduled', {
          job: job.definition.id,
          reason: message,
        }),
    });
    const contexts = new StepContexts(decisions);
    this.explainer = new JobExplainer({
      ...decisions,
      contexts,
      isRemembered: (job, step) => this.scheduler.isRemembered(job, step),
      isAtStartLimit: (job) => this.scheduler.isAtStartLimit(job),
    });
    this.waits = new WaitMonitor({
      ...decisions,
      log: options.log,
      contexts,
      explainer: this.explainer,
    });
    this.summaries = new SummaryLog({
      log: options.log,
      waits: this.waits,
      bestEffort: this.bestEffort,
      workers: this.workers,
    });
    this.reportProcessor = new ReportProcessor({
      taskOf: (name) => this.tasks.get(name),
      onConfirmed: (task) => this.runs.confirm(task),
      onEnded: (task, end) => this.runs.end(task, end),
      onObsolete: (task) => this.withdrawUnsent(task),
      onDone: (task) => this.runs.finish(task),
      onFailed: (task) => this.runs.fail(task),
      onOrphanRuns: (runs, worker) => this.orphans.handle(runs, worker),
    });
  }

  /** Jobs that are open or finished not long ago, by id. */
  get jobs(): ReadonlyMap<string, JobState> {
    return this.jobIndex.byId;
  }

  /** Workers that are registered or may still run a task, by id. */
  get workers(): Map<string, WorkerState> {
    return this.registry.workers;
  }

  /** Replaces the configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.queues.configure(configuration.queues);
  }

  /**
   * Adds a job that was just accepted or was restored at a takeover.
   *
   * @throws Error if its tasks cannot be created; the job is not added then.
   */
  addJob(job: JobState): void {
    const {id} = job.definition;
    if (this.jobs.has(id)) return;
    job.knownSinceMs = this.options.clock.nowMs();
    if (job.isFinal) job.finalSinceMs = job.knownSinceMs;
    this.tasks.addJob(job, this.options.clock.wallMs());
    this.jobIndex.add(job);
  }

  /** Cancels a job: no further task starts and running tasks are stopped. */
  cancel(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (!job || job.isFinal) return;
    this.endings.end(job, JobPhase.CANCELLED);
  }

  /** Replaces the data centres whose workers are given no start. */
  setEvacuations(dataCentres: ReadonlySet<string>): void {
    this.registry.setEvacuations(dataCentres);
  }

  /** Adds a worker or updates its registration. */
  upsertWorker(registration: WorkerRegistration): void {
    const worker = this.registry.upsert(registration);
    if (registration.isDraining) this.drain(worker);
    else worker.drainingSinceMs = Infinity;
  }

  /** Handles the removal of a registration; the lease may still be valid. */
  unregisterWorker(id: string): void {
    this.registry.unregister(id);
  }

  /**
   * Handles the answer of another incarnation at the address of a worker: the
   * worker has ended, and with it all runs that were sent to it. They end in
   * the same commit that counts the crash, so that no successor counts it again.
   */
  handleReplacement(worker: WorkerState): void {
    if (worker.hasEnded) return;
    worker.hasEnded = true;
    this.crashes.recordCrash(worker, CrashEvidence.REPLACED);
    for (const task of [...worker.tasks]) {
      if (task.state !== 'assigned') this.runs.end(task, 'worker-ended');
    }
  }

  /**
   * Handles an unanswered poll of a worker.
   *
   * @param options.isTimeout - Whether the worker was silent, so that the time
   *     at which it was lost is not known. @default false
   */
  handleSilence(
    worker: WorkerState,
    options: {isTimeout?: boolean} = {},
  ): void {
    this.crashes.recordSilence(worker, options);
  }

  /**
   * Processes the report of a worker in response to a poll sent at `sentMs`.
   */
  processReport(
    worker: WorkerState,
    report: WorkerReport,
    sentMs: number,
  ): void {
    const nowMs = this.options.clock.nowMs();
    const writtenMs = this.registry.recordReport(worker, report, sentMs);
    this.crashes.recordAnswer(worker);
    this.crashes.settleLosses(worker);
    if (report.ended.length > 0) this.changes.addProcessedEnds(worker);
    this.reportProcessor.process(worker, report, {sentMs, writtenMs});
    this.speedLimits.adjust(worker, nowMs);
    this.stuckRuns.check(worker, {writtenMs, nowMs});
    this.crashes.recordProgress(worker, writtenMs);
    if (worker.registration.isDraining) this.drain(worker);
  }

  /** Handles the outcome of a start command. */
  handleStartOutcome(
    task: TaskState,
    run: number,
    outcome: CommandOutcome,
  ): void {
    if (task.run !== run || !task.isPlaced) return;
    const answeredMs = this.options.clock.nowMs();
    this.startWindow.recordAnswer(answeredMs - task.startedMs, answeredMs);
    const worker = this.workerOf(task);
    if (outcome.kind === 'done') {
      if (worker) {
        const {startedMs} = task;
        this.registry.detectClockReset(worker, outcome.clockMs, startedMs);
        this.crashes.recordConfirmation(worker, startedMs);
      }
      if (!task.hasBegun) this.runs.recordBegun(task);
    }
    if (task.state !== 'starting') return;
    if (outcome.kind === 'done') {
      task.absentAfterMs = this.options.clock.nowMs();
      this.runs.confirm(task);
      return;
    }
    this.options.log.logDetail('start-not-confirmed', {
      task: task.name,
      run,
      worker: task.assignment?.workerId,
      outcome: outcome.kind,
      reason: outcome.reason,
    });
    if (outcome.kind === 'unknown') {
      task.apply('doubted');
      this.stops.send(task);
      return;
    }
    if (worker) {
      this.handleRefusal(task, worker, outcome.reason);
      // Without a valid term no worker was asked.
      const wasSent = outcome.reason !== RefusalReason.TERM_UNCERTAIN;
      if (wasSent) recordRefusal(task, worker);
    }
    task.refusals += 1;
    const nowMs = this.options.clock.nowMs();
    task.notBeforeMs = nowMs + restartDelayMs(task.refusals);
    this.runs.end(task, 'refused');
    if (task.step.isGang) this.runs.abandonGang(task);
  }

  /** Handles the outcome of a stop command. */
  handleStopOutcome(
    task: TaskState,
    run: number,
    outcome: CommandOutcome,
  ): void {
    this.stops.handleOutcome(task, run, outcome);
  }

  /** Handles timeouts: expired leases, unanswered stops, due occurrences. */
  tick(): void {
    const nowMs = this.options.clock.nowMs();
    this.summaries.logDue(this.jobIndex.open, this.schedulingTime);
    for (const worker of this.workers.values()) {
      this.expireLease(worker, nowMs);
      for (const task of worker.tasks) this.stops.resendIfDue(task, nowMs);
    }
    this.tasks.update(this.jobIndex.open, this.options.clock.wallMs());
    const forgottenMs = nowMs - this.options.keepFinishedMs;
    for (const job of this.jobIndex.finishedUntil(forgottenMs)) {
      this.removeFinishedJob(job);
    }
  }

  /** Runs a scheduling pass and requests advice for steps that need it. */
  schedule(): void {
    if (!this.configuration || !this.startGuard.isInformed) return;
    const time = this.schedulingTime;
    this.scheduler.schedule(this.jobIndex.open, time);
    this.requestAdvice(time.nowMs);
  }

  /** Handles the outcome of the advice request in progress. */
  handleAdvice(outcome: AdviceOutcome, sentMs: number): void {
    const isAdvice = outcome.kind === 'advice';
    this.options.log.logDecision('advice', {
      allowed: isAdvice ? outcome.tickets.size : undefined,
      reason: isAdvice ? undefined : outcome.reason,
    });
    this.advice.handleOutcome(outcome, sentMs, this.options.clock.nowMs());
  }

  /** Whether there are changes to commit. */
  get hasPending(): boolean {
    return this.changes.hasPending;
  }

  /** Removes and returns the pending changes; see {@link PendingChanges}. */
  takePending(): PendingCommit {
    return this.changes.take();
  }

  /** Returns the number of jobs in a queue of which no task has started. */
  countPending(queue: string): number {
    let pending = 0;
    for (const job of this.jobIndex.open) {
      if (!job.hasStarted && job.definition.queue === queue) pending += 1;
    }
    return pending;
  }

  /** Explains why a job runs or waits; undefined if it is not known. */
  explain(jobId: string): JobExplanation | undefined {
    const job = this.jobs.get(jobId);
    return job && this.explainer.explain(job, this.schedulingTime);
  }

  /** Jobs that could run and do not, as of the latest summary. */
  get waitSummary(): WaitSummary {
    return this.waits.summary;
  }

  /** Number of starts that are assigned and not answered. */
  get openStarts(): number {
    return this.startWindow.countOpen();
  }

  /** Whether a worker runs a finite task of one of the most urgent queues. */
  runsUrgentTask(worker: WorkerState): boolean {
    for (const {job, step} of worker.tasks) {
      if (!step.isLongRunning && this.queues.isUrgent(job)) return true;
    }
    return false;
  }

  private countFreeStarts(job: JobState): number {
    return this.startWindow.countFree({isUrgent: this.queues.isUrgent(job)});
  }

  /** Returns the objective of a job in ms. */
  private objectiveMsOf(job: JobState): number {
    const duration = durationOf(job, this.options.estimates);
    return Math.round(objectiveMs(job, this.queues.termsOf(job), duration));
  }

  private get schedulingTime(): SchedulingTime {
    const {clock} = this.options;
    return {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
  }

  /** Registers a task that was just created or restored; called once. */
  private registerTask(task: TaskState): void {
    const nowMs = this.options.clock.nowMs();
    task.waitingSinceMs = nowMs;
    if (task.lastActiveMs === -Infinity) task.lastActiveMs = nowMs;
    for (const loss of task.storedLosses.splice(0)) {
      this.crashes.restoreLoss(task, loss);
    }
    if (task.state !== 'inherited' || !task.assignment) return;
    task.startedMs = -Infinity;
    this.registry.inheritRun(task, task.assignment);
  }

  private sendStart(task: TaskState): void {
    if (task.state !== 'assigned') return;
    const worker = this.workerOf(task);
    const refusal = this.startGuard.refusalOf(task, worker);
    if (!worker || refusal !== undefined) {
      if (refusal === StartRefusal.EVACUATED) this.recordHeldStart(task);
      this.runs.end(task, 'withdrawn');
      if (task.step.isGang) this.runs.abandonGang(task);
      return;
    }
    task.apply('committed');
    task.absentAfterMs = Infinity;
    task.startedMs = this.options.clock.nowMs();
    task.job.history.recordStart(task.startedMs - task.job.knownSinceMs);
    this.options.effects.start(task, worker);
  }

  /** Records that an evacuation held back the start of a task. */
  private recordHeldStart(task: TaskState): void {
    this.options.countEvent?.(OrchestratorEvent.START_HELD_BACK);
    this.options.log.logDecision('start-held-back', {
      task: task.name,
      run: task.run,
      worker: task.assignment?.workerId,
      dataCentre: this.workerOf(task)?.registration.dataCentre,
    });
  }

  private handleRefusal(
    task: TaskState,
    worker: WorkerState,
    reason: RefusalReason,
  ): void {
    if (reason === RefusalReason.TICKET) {
      this.advice.invalidate(stepOf(task), worker.registration.id);
    }
    const nowMs = this.options.clock.nowMs();
    blockRefusingWorker(worker, {reason, nowMs});
  }

  private expireLease(worker: WorkerState, nowMs: number): void {
    if (nowMs < worker.leaseEndsMs) return;
    if (worker.tasks.size === 0) {
      if (!worker.isRegistered) this.workers.delete(worker.registration.id);
      return;
    }
    this.crashes.recordLeaseEnd(worker);
    for (const task of [...worker.tasks]) {
      if (task.state !== 'assigned') this.runs.end(task, 'lease-ended');
    }
  }

  private drain(worker: WorkerState): void {
    const nowMs = this.options.clock.nowMs();
    worker.drainingSinceMs = Math.min(worker.drainingSinceMs, nowMs);
    for (const task of worker.tasks) {
      if (task.state === 'running' && task.step.isLongRunning) {
        this.stops.request(task, 'worker-draining');
      }
    }
  }

  private removeFinishedJob(job: JobState): void {
    if (isAnyPlaced(job)) return;
    this.tasks.releaseJob(job);
    this.jobIndex.remove(job);
    this.changes.removeJob(job);
    this.options.effects.requestCommit();
  }

  private forgetStep(step: StepState): void {
    this.advice.removeStep(step);
    this.bestEffort.removeTasks(step.tasks);
  }

  private requestAdvice(nowMs: number): void {
    const request = this.advice.nextRequest(
      (id) => this.workers.get(id)?.incarnation ?? 0,
      nowMs,
    );
    if (request) this.options.effects.requestAdvice(request);
  }

  /** Reverts the assignment of a task, or of its gang, that was not sent. */
  private withdrawUnsent(task: TaskState): void {
    const tasks = task.step.isGang ? stepOf(task).tasks : [task];
    for (const member of tasks) {
      if (member.state === 'assigned') this.withdraw(member);
    }
  }

  private withdraw(task: TaskState): void {
    this.runs.clearAssignment(task);
    task.apply('withdrawn');
    this.changes.removeStart(task);
  }

  private assign(task: TaskState, worker: WorkerState, run: number): void {
    const nowMs = this.options.clock.nowMs();
    const ticket = this.advice.ticketFor(stepOf(task), worker, nowMs);
    beginAssignment(task, {worker, run, ticket, nowMs});
    this.startWindow.add(task);
    this.changes.addStart(task);
    this.options.log.logDetail('place', {
      task: task.name,
      run,
      worker: worker.registration.id,
      image: task.step.image,
      freeCpu: Math.round(worker.freeCpu),
      reportAgeMs: Math.round(nowMs - worker.lastReportMs),
      version: this.configuration?.version,
    });
    this.markTaskDirty(task);
  }

  private workerOf(task: TaskState): WorkerState | undefined {
    const id = task.assignment?.workerId;
    return id === undefined ? undefined : this.workers.get(id);
  }

  private markDirty(job: JobState): void {
    this.changes.addJob(job);
    this.options.effects.requestCommit();
  }

  /** Like {@link markDirty} if nothing but this task of the job has changed. */
  private markTaskDirty(task: TaskState): void {
    this.changes.addTask(task);
    this.options.effects.requestCommit();
  }
}

/**
 * Records which worker has refused a task. One that is chosen although it has
 * refused it before shows that no other is left: all are tried again.
 */
function recordRefusal({refusedBy}: TaskState, worker: WorkerState): void {
  const {id} = worker.registration;
  if (refusedBy.has(id)) refusedBy.clear();
  refusedBy.add(id);
}
