import {ManualClock} from '../src/clock/manual_clock.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {KeyChange} from '../src/leadership/commit_log.js';
import {restoreProgress} from '../src/orchestrator/jobs/job_progress.js';
import {JobState} from '../src/orchestrator/jobs/job_state.js';
import {Orchestrator} from '../src/orchestrator/orchestrator.js';
import {PendingCommit} from '../src/orchestrator/orchestrator_effects.js';
import {TaskState} from '../src/orchestrator/runs/task_state.js';
import {
  EndKind,
  CommandOutcome,
  RunningReport,
} from '../src/orchestrator/workers/worker_port.js';
import {WorkerState} from '../src/orchestrator/workers/worker_state.js';
import {NodeLog} from '../src/logging/node_log.js';
import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {
  JobDefinition,
  StepDefinition,
  TaskResources,
} from '../src/work/job_definition.js';
import {Configuration} from '../src/work/configuration.js';
import {AdviceRequest} from '../src/orchestrator/workers/advice_port.js';
import {parseTaskName} from '../src/work/task_name.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';
import {decodeStoredProgress} from '../src/work/stored_progress.js';
import {CapacityHistory} from './capacity_history.js';
import {CrashLimit} from './crash_limit.js';
import {dueTasks} from './due_tasks.js';
import {IdleCapacityCheck, SampledWorker} from './idle_capacity_check.js';
import {silentLog} from './silent_log.js';
import {SimulatedGangs, stepNameOf} from './simulated_gangs.js';
import {MessageOptions, SimulatedMessages} from './simulated_messages.js';
import {simpleConfiguration, simpleWorker} from './simple_definitions.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';

/** Options of {@link SimulatedPartition}. */
export interface SimulatedPartitionOptions {
  /** Seed of all random faults and delays. */
  seed: number;
  /** Number of workers. @default 3 */
  workers?: number;
  /** Maximum number of attempts of a task. @default 3 */
  maxAttempts?: number;
  /** Names of tasks that crash each worker that starts them. @default none */
  crashingTasks?: readonly string[];
  /** Probability of a random crash in each step with faults. @default 0 */
  crashRate?: number;
  /** Time in ms for which a crashed worker is down. @default 3000 */
  crashDownMs?: number;
  /**
   * Whether a crashed worker restarts under its id; otherwise it registers
   * under a new id at the same address.
   *
   * @default false
   */
  keepsIdAfterCrash?: boolean;
  /**
   * Probability of a change of the capacity of a worker, and of a cancelled
   * job, in each step with faults. The workers then start whatever they are
   * told to, and take some time to stop a run.
   *
   * @default 0
   */
  capacityChangeRate?: number;
  /**
   * Probability, in each step with faults, that the process of an owner is
   * paused for a time in which its term does not end. Reports then also take up
   * to a second, so that other responses overtake them.
   *
   * @default 0
   */
  pauseRate?: number;
  /** Number of ends that one report of a worker lists. @default 500 */
  mostEndsPerReport?: number;
  /** Returns what distinguishes a worker. @default nothing */
  workerFields?: (machine: number) => Partial<WorkerRegistration>;
  /**
   * Returns whether a step may run on a worker, which its advice service tells.
   *
   * @default there is no advice service
   */
  isAllowed?: (step: string, workerId: string) => boolean;
  /**
   * Returns the progress and the gauge that a run reports.
   *
   * @default neither changes
   */
  measure?: (
    step: StepDefinition,
    ageMs: number,
  ) => Pick<RunningReport, 'percent' | 'gauge'>;
  /** Log of the owners. @default none */
  log?: NodeLog;
}

const MAX_LEASE_MS = 6000;
const TERM_LEASE_MS = 3000;
const STEP_MS = 50;
/** Maximum time in ms by which the execution of a command is delayed. */
const MAX_COMMAND_DELAY_MS = 12_000;

/** Maximum time in ms for which the process of an owner is paused. */
const MAX_PAUSE_MS = 2500;

/** Maximum time in ms for which a report is under way while owners pause. */
const MAX_REPORT_DELAY_MS = 1000;

/** Time in ms after a crash at which the registration of a worker lapses. */
const REGISTRATION_LAPSE_MS = 3300;

/** Time in ms that a worker takes to stop a run, if its capacity may change. */
const STOP_MS = 200;

/** Time in ms until a changed registration reaches the owners. */
const REGISTRATION_DELAY_MS = 1300;

/** Fractions of its full capacity that a worker changes to. */
const CAPACITY_FRACTIONS = [0, 0.25, 0.5, 1] as const;

/** Response time in ms of the advice service. */
const ADVICE_MS = 200;

/** Validity in ms of the tickets of the advice service. */
const TICKET_VALIDITY_MS = 3000;

/** A crash of a worker under one of its runs. */
interface WorkerCrash {
  worker: string;
  /** Simulated time in ms. */
  atMs: number;
  /** All tasks that were lost. */
  tasks: readonly string[];
}

/** The term of one owner of the partition. */
interface Term {
  /** Fencing token of the term. */
  token: number;
  orchestrator: Orchestrator;
  /** Simulated time in ms until which the owner extends worker leases. */
  termLeaseUntilMs: number;
  /** Commit that has been started and takes effect in the next step. */
  pending: PendingCommit | undefined;
  /** Connection of the latest report, by the incarnation of its worker. */
  reportConnections: Map<WorkerState, number | undefined>;
  /** Workers of which a report is under way. */
  polled: Set<WorkerState>;
}

/**
 * Simulation of a partition with its owners, workers and store on a manual
 * clock. A seeded random source loses, delays and reorders commands and their
 * responses. Violations of the execution guarantees are collected: a task never
 * runs on two workers at once and never starts again after it has succeeded.
 * While no fault is in effect, no task waits beside idle capacity.
 */
export class SimulatedPartition {
  /** Descriptions of the violations found so far. */
  readonly violations: string[] = [];
  /** Simulated time of the owners. */
  readonly clock = new ManualClock({startMs: 1000, wallStartMs: 1_000_000});
  /** Source of all random faults and delays. */
  readonly random: RandomSource;
  /** Workers by id. */
  readonly workers = new Map<string, SimulatedTaskWorker>();
  private readonly keys = new PartitionKeys('main');
  /** Contents of the store by key. */
  private readonly stored = new Map<string, Buffer>();
  private readonly jobs: JobDefinition[] = [];
  /** Whether a command is being executed that its worker has held back. */
  private isExecutingLate = false;
  private readonly cancelled = new Set<string>();
  /** Workers that run a task now. */
  private readonly workersByTask = new Map<string, Set<string>>();
  /** Run number of the acknowledged success of each task. */
  private readonly completedRuns = new Map<string, number>();
  /** Highest run number that was started, by task. */
  private readonly latestStartedRuns = new Map<string, number>();
  /** Tokens of the owners that cannot reach a worker, by worker id. */
  private readonly disconnectedWorkers = new Map<string, Set<number>>();
  /** Capacities of the workers before any change. */
  private readonly fullCapacities = new Map<string, TaskResources>();
  /** Capacities that owners may still believe in. */
  private readonly capacities = new CapacityHistory();
  private readonly gangs = new SimulatedGangs({
    workers: this.workers,
    stepOf: (task) => this.stepOf(task),
  });
  private readonly crashLimit = new CrashLimit();
  private readonly idleCapacity = new IdleCapacityCheck();
  /** Whether commands and their responses are neither lost nor delayed. */
  private areCommandsReliable = false;
  /** Time in ms until which an injected fault is in effect. */
  private faultsUntilMs = 0;
  /** Crashes of workers so far. */
  readonly crashes: WorkerCrash[] = [];
  /** Ids of workers whose registration has not lapsed, by address. */
  private readonly registered = new Map<string, WorkerRegistration>();
  private readonly messages: SimulatedMessages;
  private terms: Term[] = [];
  private nextToken = 10;

  constructor(private readonly options: SimulatedPartitionOptions) {
    this.random = new SeededRandom(options.seed);
    this.messages = new SimulatedMessages(this.random);
    for (let number = 0; number < (options.workers ?? 3); number++) {
      this.addWorker(`w${number}`);
    }
    this.takeOver();
  }

  /** Orchestrator of the latest term. */
  get owner(): Orchestrator {
    return this.terms.at(-1)!.orchestrator;
  }

  /** Adds a job to all orchestrators. */
  submit(definition: JobDefinition): void {
    this.jobs.push(definition);
    for (const {orchestrator} of this.terms) {
      orchestrator.addJob(new JobState(definition, this.clock.wallMs()));
    }
  }

  /**
   * Begins a new term. Earlier owners continue until 5 s after the end of their
   * term leases, since they do not know about the new one.
   */
  takeOver(): void {
    const token = this.nextToken++;
    this.recordFault(TERM_LEASE_MS);
    const term: Term = {
      token,
      orchestrator: this.createOrchestrator(token),
      termLeaseUntilMs: Infinity,
      pending: undefined,
      reportConnections: new Map(),
      polled: new Set(),
    };
    for (const earlier of this.terms) {
      earlier.termLeaseUntilMs = Math.min(
        earlier.termLeaseUntilMs,
        this.clock.nowMs() + TERM_LEASE_MS,
      );
    }
    this.terms.push(term);
    const {orchestrator} = term;
    orchestrator.configure(this.createConfiguration());
    for (const registration of this.registered.values()) {
      orchestrator.upsertWorker(registration);
    }
    for (const definition of this.jobs) {
      const job = new JobState(definition, this.clock.wallMs());
      const progress = decodeStoredProgress({
        record: this.stored.get(this.keys.progress(definition.id)),
        changes: this.stored.get(this.keys.progressChanges(definition.id)),
      });
      if (progress) restoreProgress(job, progress);
      orchestrator.addJob(job);
      if (this.cancelled.has(definition.id)) orchestrator.cancel(definition.id);
    }
  }

  /** Disconnects a worker from the owner of a token, or from all owners. */
  disconnect(workerId: string, fromToken?: number): void {
    const tokens =
      fromToken === undefined
        ? this.terms.map(({token}) => token)
        : [fromToken];
    this.disconnectedWorkers.set(workerId, new Set(tokens));
  }

  /** Fencing token of the latest term. */
  get token(): number {
    return this.terms.at(-1)!.token;
  }

  /** Reconnects a worker to all owners. */
  reconnect(workerId: string): void {
    this.disconnectedWorkers.delete(workerId);
  }

  /** Advances the time; polls, commits and messages are processed meanwhile. */
  advance(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const worker of this.workers.values()) worker.advance(STEP_MS);
      this.messages.deliverDue(this.clock.nowMs());
      this.gangs.endIncomplete(this.clock.nowMs());
      for (const term of this.terms) this.runTerm(term);
      this.checkIdleCapacity();
    }
  }

  /** Advances the time while injecting random faults. */
  runWithFaults(durationMs: number): void {
    this.areCommandsReliable = false;
    this.recordFault(durationMs);
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.injectRandomFault();
      this.advance(STEP_MS);
    }
  }

  /** Reconnects all workers and advances the time while tasks finish. */
  runWithoutFaults(durationMs: number): void {
    this.disconnectedWorkers.clear();
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.finishRandomTasks(0.2);
      this.advance(STEP_MS);
    }
  }

  /**
   * Reconnects all workers and advances the time while tasks finish and no
   * command is lost or delayed.
   */
  runCalm(durationMs: number): void {
    this.areCommandsReliable = true;
    this.disconnectedWorkers.clear();
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.finishRandomTasks(0.02);
      this.advance(STEP_MS);
    }
  }

  /** Number of crashes that a task has caused or has been lost in. */
  countCrashes(task: string): number {
    return this.crashes.filter(({tasks}) => tasks.includes(task)).length;
  }

  /** Crashes a worker with all its runs; it is back after some seconds. */
  crash(id: string): void {
    const worker = this.workers.get(id)!;
    if (worker.isDown) return;
    const tasks = worker.running;
    this.recordFault(
      Math.max(this.options.crashDownMs ?? 3000, REGISTRATION_LAPSE_MS),
    );
    this.crashes.push({worker: id, atMs: this.clock.nowMs(), tasks});
    worker.crash();
    this.gangs.breakGangs(tasks);
    const {crashDownMs = 3000, keepsIdAfterCrash = false} = this.options;
    this.scheduleMessage(crashDownMs, () => {
      if (keepsIdAfterCrash) worker.restart(worker.bornMs + 1);
      else this.replaceWorker(id);
    });
    if (keepsIdAfterCrash) return;
    this.scheduleMessage(REGISTRATION_LAPSE_MS, () => {
      this.registered.delete(id);
      for (const term of this.terms) term.orchestrator.unregisterWorker(id);
    });
  }

  /** Starts the next incarnation at the address of a crashed worker. */
  private replaceWorker(id: string): void {
    this.workers.delete(id);
    const [machine, life] = id.split('-') as [string, string | undefined];
    const nextId = `${machine}-${Number(life ?? 1) + 1}`;
    const registration = this.addWorker(nextId, machine);
    for (const term of this.terms) term.orchestrator.upsertWorker(registration);
  }

  private addWorker(id: string, machine = id): WorkerRegistration {
    const number = Number(machine.slice(1));
    const registration = simpleWorker(id, {
      address: `127.0.0.1:${number + 1}`,
      ...this.options.workerFields?.(number),
    });
    this.fullCapacities.set(id, registration.capacity);
    this.registered.set(id, registration);
    const worker = new SimulatedTaskWorker({
      registration,
      longestLeaseMs: MAX_LEASE_MS,
      stopMs: this.options.capacityChangeRate ? STOP_MS : 0,
      mostEndsPerReport: this.options.mostEndsPerReport,
      clockRate: 0.98 + this.random.next() * 0.02,
      measure: (task, ageMs) => this.measure(task, ageMs),
      onStarted: (task, run) => this.recordStart(id, task, run),
      onRemoved: (task) => {
        this.workersByTask.get(task)?.delete(id);
      },
      onCompleted: (task, run) => this.recordCompletion(task, run),
    });
    this.workers.set(id, worker);
    return registration;
  }

  private recordStart(workerId: string, task: string, run: number): void {
    const workers = this.workersByTask.get(task) ?? new Set();
    this.workersByTask.set(task, workers);
    if (workers.size > 0) {
      this.violations.push(
        `${task} run ${run} started on ${workerId} while running on ${[...workers].join()}`,
      );
    }
    if ((this.completedRuns.get(task) ?? Infinity) < run) {
      this.violations.push(`${task} run ${run} started after success`);
    }
    this.latestStartedRuns.set(
      task,
      Math.max(run, this.latestStartedRuns.get(task) ?? 0),
    );
    workers.add(workerId);
    const isOnTime = !this.isExecutingLate;
    if (isOnTime && this.options.capacityChangeRate) {
      this.checkCapacity(workerId, task);
    }
    if (this.options.crashingTasks?.includes(task)) {
      this.recordCrashingStart(workerId, task);
    }
  }

  /**
   * Checks that the runs on a worker fit a capacity it lately had. Best-effort
   * tasks do not count.
   */
  private checkCapacity(workerId: string, task: string): void {
    if (this.stepOf(task).usesLeftoverCpu) return;
    const cpu = this.workers
      .get(workerId)!
      .running.map((name) => this.stepOf(name))
      .filter(({usesLeftoverCpu}) => !usesLeftoverCpu)
      .reduce((sum, {cpuMillicores}) => sum + cpuMillicores, 0);
    const {capacity} = this.registered.get(workerId)!;
    const nowMs = this.clock.nowMs();
    const known = this.capacities.largestKnown(workerId, {capacity, nowMs});
    if (cpu <= known) return;
    this.violations.push(
      `${task} brings ${workerId} to ${cpu} of ${known} millicores`,
    );
  }

  /** Changes the capacity of a worker to a fraction of its full one. */
  resize(id: string, fraction: number): void {
    const registration = this.registered.get(id);
    if (!registration) return;
    this.recordFault(REGISTRATION_DELAY_MS);
    const full = this.fullCapacities.get(id)!;
    const capacity = {
      ...full,
      cpuMillicores: full.cpuMillicores * fraction,
      memoryMb: full.memoryMb * fraction,
    };
    this.capacities.recordReplaced(id, {
      capacity: registration.capacity,
      nowMs: this.clock.nowMs(),
    });
    const changed = {...registration, capacity};
    this.registered.set(id, changed);
    this.scheduleMessage(REGISTRATION_DELAY_MS, () => {
      if (!this.registered.has(id)) return;
      for (const term of this.terms) term.orchestrator.upsertWorker(changed);
    });
  }

  private resizeRandomly(id: string): void {
    const position = this.random.nextInteger(CAPACITY_FRACTIONS.length);
    this.resize(id, CAPACITY_FRACTIONS[position]!);
  }

  private cancelRandomJob(): void {
    const {id} = this.jobs[this.random.nextInteger(this.jobs.length)]!;
    for (const {orchestrator} of this.terms) orchestrator.cancel(id);
    this.cancelled.add(id);
  }

  private recordCrashingStart(workerId: string, task: string): void {
    const crashes = this.countCrashes(task);
    // Long-running tasks have no limit: they restart until they are cancelled.
    const isLimited = !this.isLongRunning(task);
    if (isLimited && this.crashLimit.isExceededBy(task, crashes)) {
      this.violations.push(`${task} was started again and again`);
    }
    this.scheduleMessage(0, () => this.crash(workerId));
  }

  private isLongRunning(task: string): boolean {
    const {jobId, step} = parseTaskName(task)!;
    const job = this.jobs.find(({id}) => id === jobId);
    return job?.steps[step]?.isLongRunning ?? false;
  }

  private recordCompletion(task: string, run: number): void {
    this.completedRuns.set(task, run);
    const latest = this.latestStartedRuns.get(task) ?? 0;
    if (latest <= run) return;
    this.violations.push(
      `${task} run ${latest} started despite the success of run ${run}`,
    );
  }

  private createOrchestrator(token: number): Orchestrator {
    const orchestrator: Orchestrator = new Orchestrator({
      clock: this.clock,
      log: this.options.log ?? silentLog(),
      keys: this.keys,
      longestLeaseMs: MAX_LEASE_MS,
      keepFinishedMs: 3_600_000,
      previousTermLeaseMs: TERM_LEASE_MS,
      effects: {
        start: (task, worker) => this.sendStart(token, task, worker),
        stop: (task, worker) => this.sendStop(token, task, worker),
        stopOrphanRun: ({task, run}, worker) => {
          const simulatedWorker = this.findReachableWorker(
            token,
            worker.registration.id,
          );
          simulatedWorker?.stop({task, run, fencingToken: token});
        },
        setSpeedLimit: () => undefined,
        requestAdvice: (request) => this.answerAdvice(token, request),
        publishPhases: () => undefined,
        requestCommit: () => undefined,
      },
    });
    return orchestrator;
  }

  private sendStart(token: number, task: TaskState, worker: WorkerState): void {
    const {run, name} = task;
    const leaseUntilMs = worker.leaseLimit(this.clock.nowMs(), MAX_LEASE_MS);
    worker.recordLease(leaseUntilMs);
    const command = {task: name, run, leaseUntilMs, fencingToken: token};
    this.sendCommand(
      token,
      worker.registration.id,
      (simulatedWorker) => simulatedWorker.start(command),
      (outcome) =>
        this.findOrchestrator(token)?.handleStartOutcome(task, run, outcome),
    );
  }

  private sendStop(token: number, task: TaskState, worker: WorkerState): void {
    const {run, name} = task;
    const command = {task: name, run, fencingToken: token};
    this.sendCommand(
      token,
      worker.registration.id,
      (simulatedWorker) => simulatedWorker.stop(command),
      (outcome) =>
        this.findOrchestrator(token)?.handleStopOutcome(task, run, outcome),
    );
  }

  /**
   * Sends a command to a worker. The command may be lost or executed late, and
   * its outcome may be lost; the owner is then told that it is unknown.
   */
  private sendCommand(
    token: number,
    workerId: string,
    execute: (simulatedWorker: SimulatedTaskWorker) => CommandOutcome,
    onOutcome: (outcome: CommandOutcome) => void,
  ): void {
    const unknown: CommandOutcome = {kind: 'unknown', reason: 'no answer'};
    const simulatedWorker = this.findReachableWorker(token, workerId);
    const executeIfUp = (worker: SimulatedTaskWorker): CommandOutcome =>
      worker.isDown ? unknown : execute(worker);
    const roll = this.areCommandsReliable ? 1 : this.random.next();
    const isDelayed = simulatedWorker !== undefined && roll < 0.06;
    const isLost = !simulatedWorker || (roll >= 0.06 && roll < 0.1);
    const delayMs = STEP_MS * (1 + this.random.nextInteger(4));
    if (isDelayed) {
      const executionDelayMs =
        2000 + this.random.next() * (MAX_COMMAND_DELAY_MS - 2000);
      const {bornMs} = simulatedWorker;
      // A restart of the worker discards the commands queued inside it.
      this.scheduleMessage(executionDelayMs, () => {
        if (simulatedWorker.bornMs !== bornMs) return;
        this.isExecutingLate = true;
        executeIfUp(simulatedWorker);
        this.isExecutingLate = false;
      });
    }
    if (isDelayed || isLost) {
      this.scheduleMessage(1000, () => onOutcome(unknown), {owner: token});
      return;
    }
    this.scheduleMessage(delayMs, () => {
      const outcome = executeIfUp(simulatedWorker);
      const isAnswerLost =
        !this.areCommandsReliable && this.random.next() < 0.05;
      this.scheduleMessage(
        delayMs,
        () => onOutcome(isAnswerLost ? unknown : outcome),
        {owner: token},
      );
    });
  }

  private scheduleMessage(
    delayMs: number,
    deliver: () => void,
    options: MessageOptions = {},
  ): void {
    const atMs = this.clock.nowMs() + delayMs;
    this.messages.schedule(atMs, deliver, options);
  }

  private createConfiguration(): Configuration {
    const configuration = simpleConfiguration(this.options.maxAttempts);
    const needsAdvice = this.options.isAllowed !== undefined;
    const queues = configuration.queues.map((queue) => ({
      ...queue,
      needsAdvice,
    }));
    return {...configuration, queues};
  }

  private answerAdvice(token: number, {step, workers}: AdviceRequest): void {
    const sentMs = this.clock.nowMs();
    const allowed = workers.filter((id) => this.options.isAllowed?.(step, id));
    const outcome = {
      kind: 'advice',
      tickets: new Map(allowed.map((id) => [id, 'ticket'])),
      validForMs: TICKET_VALIDITY_MS,
    } as const;
    this.scheduleMessage(ADVICE_MS, () =>
      this.findOrchestrator(token)?.handleAdvice(outcome, sentMs),
    );
  }

  private measure(
    task: string,
    ageMs: number,
  ): Pick<RunningReport, 'percent' | 'gauge'> {
    const {measure} = this.options;
    if (!measure) return {percent: 50, gauge: undefined};
    return measure(this.stepOf(task), ageMs);
  }

  /** Records a fault that is in effect from now on for a time in ms. */
  private recordFault(durationMs: number): void {
    const untilMs = this.clock.nowMs() + durationMs;
    this.faultsUntilMs = Math.max(this.faultsUntilMs, untilMs);
  }

  private checkIdleCapacity(): void {
    if (!this.areCommandsReliable) return;
    const nowMs = this.clock.nowMs();
    const isCalm =
      this.disconnectedWorkers.size === 0 && nowMs > this.faultsUntilMs;
    const workers = [...this.registered.keys()]
      .filter((id) => !this.isCrashed(id))
      .map((id) => this.sampleWorker(id));
    const done = this.tasksDone();
    const progress = {
      wallMs: this.clock.wallMs(),
      isDone: (task: string) => done.has(task),
    };
    const due = this.jobs
      .filter(({id}) => !this.cancelled.has(id) && !this.hasEnded(id))
      .flatMap((job) => dueTasks(job, progress));
    const {isAllowed} = this.options;
    const sample = {nowMs, isCalm, workers, dueTasks: due, isAllowed};
    this.violations.push(...this.idleCapacity.observe(sample));
  }

  /**
   * Names of the tasks whose success was acknowledged or stored. A lease that
   * expires in between makes an acknowledgement void.
   */
  private tasksDone(): Set<string> {
    const done = new Set(this.completedRuns.keys());
    for (const job of this.owner.jobs.values()) {
      for (const {name, state} of job.tasks()) {
        if (state === 'done') done.add(name);
      }
    }
    return done;
  }

  private hasEnded(jobId: string): boolean {
    return this.owner.jobs.get(jobId)?.isFinal ?? false;
  }

  private sampleWorker(id: string): SampledWorker {
    const {capacity, labels} = this.registered.get(id)!;
    const running = this.workers
      .get(id)!
      .running.map((name) => ({name, step: this.stepOf(name)}));
    return {id, capacity, labels, running};
  }

  private findReachableWorker(
    token: number,
    workerId: string,
  ): SimulatedTaskWorker | undefined {
    if (this.disconnectedWorkers.get(workerId)?.has(token)) return undefined;
    const worker = this.workers.get(workerId);
    return worker?.isDown ? undefined : worker;
  }

  private findOrchestrator(token: number): Orchestrator | undefined {
    return this.terms.find((term) => term.token === token)?.orchestrator;
  }

  private runTerm(term: Term): void {
    if (this.messages.isPaused(term.token, this.clock.nowMs())) return;
    const isOwner = term === this.terms.at(-1);
    term.orchestrator.tick();
    for (const worker of [...term.orchestrator.workers.values()]) {
      if (this.random.next() < 0.3) this.poll(term, worker);
    }
    term.orchestrator.schedule();
    if (isOwner) this.commit(term);
    if (!isOwner && this.clock.nowMs() > term.termLeaseUntilMs + 5000) {
      this.terms = this.terms.filter((other) => other !== term);
    }
  }

  private poll(term: Term, worker: WorkerState): void {
    if (term.polled.has(worker)) return;
    const simulatedWorker = this.findReachableWorker(
      term.token,
      worker.registration.id,
    );
    const sentMs = this.clock.nowMs();
    const isCrashed = this.isCrashed(worker.registration.id);
    if (isCrashed) term.orchestrator.handleSilence(worker);
    if (isCrashed && this.hasSuccessor(worker)) {
      term.orchestrator.handleReplacement(worker);
    }
    const isLeaseValid = sentMs < term.termLeaseUntilMs && !isCrashed;
    const leaseUntilMs =
      worker.hasReported && isLeaseValid
        ? worker.leaseLimit(sentMs, MAX_LEASE_MS)
        : undefined;
    if (leaseUntilMs !== undefined) worker.recordLease(leaseUntilMs);
    const connection = simulatedWorker?.bornMs;
    // A connection ends with the incarnation of its worker, and ends are
    // acknowledged only on the connection of the latest report.
    const sequenceToAcknowledge =
      term.reportConnections.get(worker) === connection
        ? worker.sequenceToAcknowledge
        : 0;
    const outcome = simulatedWorker?.poll({
      fencingToken: term.token,
      acknowledgedSequence: sequenceToAcknowledge,
      leaseUntilMs,
    });
    if (outcome?.kind !== 'report') return;
    if (!this.areCommandsReliable && this.random.next() < 0.05) return;
    term.polled.add(worker);
    this.scheduleMessage(
      this.reportDelayMs(),
      () => {
        term.polled.delete(worker);
        if (!this.terms.includes(term)) return;
        term.reportConnections.set(worker, connection);
        worker.recordAcknowledged(sequenceToAcknowledge);
        term.orchestrator.processReport(worker, outcome.report, sentMs);
      },
      {owner: term.token},
    );
  }

  private reportDelayMs(): number {
    if (!this.options.pauseRate || this.areCommandsReliable) return STEP_MS;
    return STEP_MS + this.random.next() * MAX_REPORT_DELAY_MS;
  }

  /** Pauses the process of the latest owner. */
  private pauseOwner(): void {
    const untilMs = this.clock.nowMs() + this.random.next() * MAX_PAUSE_MS;
    this.recordFault(MAX_PAUSE_MS);
    this.messages.pause(this.token, untilMs);
  }

  private isCrashed(id: string): boolean {
    return this.workers.get(id)?.isDown ?? true;
  }

  /** Whether another incarnation answers at the address of a worker. */
  private hasSuccessor({registration}: WorkerState): boolean {
    return [...this.registered.values()].some(
      ({id, address}) =>
        id !== registration.id &&
        address === registration.address &&
        !this.isCrashed(id),
    );
  }

  /**
   * Applies the commit started in the previous step and starts the next one. An
   * owner that is replaced in between never applies its commit.
   */
  private commit(term: Term): void {
    if (term.pending) {
      const {batches, onStored} = term.pending;
      term.pending = undefined;
      for (const batch of batches) {
        for (const change of batch.changes) this.applyChange(change);
        batch.onStored();
      }
      onStored();
    }
    if (term.orchestrator.hasPending) {
      term.pending = term.orchestrator.takePending();
    }
  }

  private applyChange(change: KeyChange): void {
    if (change.value) this.stored.set(change.key, change.value);
    else this.stored.delete(change.key);
  }

  private injectRandomFault(): void {
    const roll = this.random.next();
    const ids = [...this.workers.keys()];
    const id = ids[this.random.nextInteger(ids.length)]!;
    if (roll < 0.004) this.takeOver();
    else if (roll < 0.012) this.disconnect(id);
    else if (roll < 0.018) this.disconnect(id, this.token);
    else if (roll < 0.03) this.reconnect(id);
    else if (roll < 0.033) this.restartWorker(id);
    else if (roll < 0.033 + (this.options.crashRate ?? 0)) this.crash(id);
    const changeRate = this.options.capacityChangeRate ?? 0;
    if (changeRate > 0 && this.random.next() < changeRate) {
      this.resizeRandomly(id);
    }
    if (changeRate > 0 && this.random.next() < changeRate / 4) {
      this.cancelRandomJob();
    }
    const pauseRate = this.options.pauseRate ?? 0;
    if (pauseRate > 0 && this.random.next() < pauseRate) this.pauseOwner();
    this.finishRandomTasks(0.02);
  }

  private restartWorker(id: string): void {
    const worker = this.workers.get(id)!;
    if (worker.isDown) return;
    this.recordFault(0);
    worker.restart(worker.bornMs + 1);
  }

  /** Whether a task ends after some time; crashing gangs never get so far. */
  private endsByItself(task: string): boolean {
    const {crashingTasks = []} = this.options;
    if (crashingTasks.includes(task)) return false;
    const step = this.stepOf(task);
    if (step.isLongRunning) return false;
    const isInStep = (other: string): boolean =>
      stepNameOf(other) === stepNameOf(task);
    return !step.isGang || !crashingTasks.some(isInStep);
  }

  private stepOf(task: string): StepDefinition {
    const [id, , step] = task.split('.');
    const job = this.jobs.find((definition) => definition.id === id)!;
    return job.steps[Number(step)]!;
  }

  private finishRandomTasks(probability: number): void {
    for (const worker of this.workers.values()) {
      for (const task of worker.running) {
        if (!this.endsByItself(task)) continue;
        if (this.random.next() >= probability) continue;
        const kind = this.random.next() < 0.1 ? EndKind.FAILED : EndKind.DONE;
        this.gangs.finish(worker, task, kind);
      }
    }
  }
}
