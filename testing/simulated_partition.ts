import {ManualClock} from '../src/clock/manual_clock.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {KeyChange} from '../src/leadership/commit_log.js';
import {restoreProgress} from '../src/orchestrator/job_progress.js';
import {JobState} from '../src/orchestrator/job_state.js';
import {Orchestrator} from '../src/orchestrator/orchestrator.js';
import {PendingCommit} from '../src/orchestrator/orchestrator_effects.js';
import {TaskState} from '../src/orchestrator/task_state.js';
import {EndKind, CommandOutcome} from '../src/orchestrator/worker_port.js';
import {WorkerState} from '../src/orchestrator/worker_state.js';
import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {JobDefinition} from '../src/work/job_definition.js';
import {decodeProgress} from '../src/work/job_records.js';
import {silentLog} from './silent_log.js';
import {simpleConfiguration, simpleWorker} from './simple_definitions.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';

/** Options of {@link SimulatedPartition}. */
export interface SimulatedPartitionOptions {
  seed: number;
  workers?: number;
  maxAttempts?: number;
}

const LONGEST_LEASE_MS = 6000;
const TERM_LEASE_MS = 3000;
const STEP_MS = 50;
/** Longest time in ms after which an order is carried out late. */
const LATEST_ORDER_MS = 12_000;

interface Term {
  token: number;
  orchestrator: Orchestrator;
  /** True time in ms until which this owner extends leases. */
  certainUntilMs: number;
  pending: PendingCommit | undefined;
}

interface DelayedOrder {
  atMs: number;
  deliver: () => void;
}

/**
 * Owners, workers and a store in one process on a manual clock. Orders and
 * answers are lost, late or reordered by a seeded source; breaches of the
 * promises about tasks are collected.
 */
export class SimulatedPartition {
  readonly breaches: string[] = [];
  readonly clock = new ManualClock({startMs: 1000, wallStartMs: 1_000_000});
  readonly random: RandomSource;
  readonly workers = new Map<string, SimulatedTaskWorker>();
  private readonly keys = new PartitionKeys('main');
  private readonly stored = new Map<string, Buffer>();
  private readonly jobs: JobDefinition[] = [];
  private readonly runningOn = new Map<string, Set<string>>();
  private readonly doneRuns = new Map<string, number>();
  private readonly latestRuns = new Map<string, number>();
  private readonly cutWorkers = new Map<string, Set<number>>();
  private delayed: DelayedOrder[] = [];
  private terms: Term[] = [];
  private nextToken = 10;

  constructor(private readonly options: SimulatedPartitionOptions) {
    this.random = new SeededRandom(options.seed);
    for (let number = 0; number < (options.workers ?? 3); number++) {
      this.addWorker(`w${number}`);
    }
    this.takeOver();
  }

  /** The owner that took over last. */
  get owner(): Orchestrator {
    return this.terms.at(-1)!.orchestrator;
  }

  /** Accepts a job. */
  submit(definition: JobDefinition): void {
    this.jobs.push(definition);
    for (const {orchestrator} of this.terms) {
      orchestrator.addJob(new JobState(definition, this.clock.wallMs()));
    }
  }

  /** Begins a new term; earlier owners go on until they notice. */
  takeOver(): void {
    const token = this.nextToken++;
    const term: Term = {
      token,
      orchestrator: this.createOrchestrator(token),
      certainUntilMs: Infinity,
      pending: undefined,
    };
    for (const earlier of this.terms) {
      earlier.certainUntilMs = Math.min(
        earlier.certainUntilMs,
        this.clock.nowMs() + TERM_LEASE_MS,
      );
    }
    this.terms.push(term);
    const {orchestrator} = term;
    orchestrator.configure(simpleConfiguration(this.options.maxAttempts));
    for (const id of this.workers.keys()) {
      orchestrator.upsertWorker(simpleWorker(id));
    }
    for (const definition of this.jobs) {
      const job = new JobState(definition, this.clock.wallMs());
      const value = this.stored.get(this.keys.progress(definition.id));
      if (value) restoreProgress(job, decodeProgress(value));
      orchestrator.addJob(job);
    }
  }

  /** Cuts a worker off from an owner, or from all. */
  cut(workerId: string, fromToken?: number): void {
    const tokens =
      fromToken === undefined
        ? this.terms.map(({token}) => token)
        : [fromToken];
    this.cutWorkers.set(workerId, new Set(tokens));
  }

  /** Token of the owner that took over last. */
  get token(): number {
    return this.terms.at(-1)!.token;
  }

  /** Ends a cut. */
  heal(workerId: string): void {
    this.cutWorkers.delete(workerId);
  }

  /** Lets time pass; looks, commits and orders take place meanwhile. */
  advance(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      for (const worker of this.workers.values()) worker.advance(STEP_MS);
      this.deliverDelayed();
      for (const term of this.terms) this.runTerm(term);
    }
  }

  /** Plays random troubles for a time. */
  play(durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.trouble();
      this.advance(STEP_MS);
    }
  }

  /** Heals everything and lets all jobs end. */
  settle(durationMs: number): void {
    this.cutWorkers.clear();
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.finishSome(0.2);
      this.advance(STEP_MS);
    }
  }

  private addWorker(id: string): void {
    const worker = new SimulatedTaskWorker({
      entry: simpleWorker(id),
      longestLeaseMs: LONGEST_LEASE_MS,
      clockSpeed: 0.98 + this.random.next() * 0.02,
      onBegin: (task, run) => this.noteBegin(id, task, run),
      onGone: (task) => this.runningOn.get(task)?.delete(id),
      onNoted: (task, run) => this.noteDone(task, run),
    });
    this.workers.set(id, worker);
  }

  private noteBegin(workerId: string, task: string, run: number): void {
    const places = this.runningOn.get(task) ?? new Set();
    this.runningOn.set(task, places);
    if (places.size > 0) {
      this.breaches.push(
        `${task} run ${run} began on ${workerId} while on ${[...places].join()}`,
      );
    }
    if ((this.doneRuns.get(task) ?? Infinity) < run) {
      this.breaches.push(`${task} run ${run} began after its end`);
    }
    this.latestRuns.set(task, Math.max(run, this.latestRuns.get(task) ?? 0));
    places.add(workerId);
  }

  private noteDone(task: string, run: number): void {
    this.doneRuns.set(task, run);
    const latest = this.latestRuns.get(task) ?? 0;
    if (latest <= run) return;
    this.breaches.push(`${task} run ${latest} began after the end of ${run}`);
  }

  private createOrchestrator(token: number): Orchestrator {
    const orchestrator: Orchestrator = new Orchestrator({
      clock: this.clock,
      log: silentLog(),
      keys: this.keys,
      longestLeaseMs: LONGEST_LEASE_MS,
      keepFinishedMs: 3_600_000,
      previousTermLeaseMs: TERM_LEASE_MS,
      effects: {
        start: (task, worker) => this.sendStart(token, task, worker),
        stop: (task, worker) => this.sendStop(token, task, worker),
        stopOrphanRun: ({task, run}, worker) => {
          const target = this.reach(token, worker.registration.id);
          target?.stop({task, run, fencingToken: token});
        },
        setSpeedLimit: () => undefined,
        requestAdvice: () => undefined,
        publishPhases: () => undefined,
        requestCommit: () => undefined,
      },
    });
    return orchestrator;
  }

  private sendStart(token: number, task: TaskState, worker: WorkerState): void {
    const {run, name} = task;
    const leaseUntilMs = worker.leaseLimit(
      this.clock.nowMs(),
      LONGEST_LEASE_MS,
    );
    worker.recordLease(leaseUntilMs);
    const order = {task: name, run, leaseUntilMs, fencingToken: token};
    this.transmit(
      token,
      worker.registration.id,
      (target) => target.start(order),
      (outcome) =>
        this.orchestratorOf(token)?.handleStartOutcome(task, run, outcome),
    );
  }

  private sendStop(token: number, task: TaskState, worker: WorkerState): void {
    const {run, name} = task;
    const order = {task: name, run, fencingToken: token};
    this.transmit(
      token,
      worker.registration.id,
      (target) => target.stop(order),
      (outcome) =>
        this.orchestratorOf(token)?.handleStopOutcome(task, run, outcome),
    );
  }

  /** Delivers an order now, late or never; so with its answer. */
  private transmit(
    token: number,
    workerId: string,
    order: (target: SimulatedTaskWorker) => CommandOutcome,
    answer: (outcome: CommandOutcome) => void,
  ): void {
    const unknown: CommandOutcome = {kind: 'unknown', reason: 'no answer'};
    const target = this.reach(token, workerId);
    const luck = this.random.next();
    const isLate = target !== undefined && luck < 0.06;
    const isLost = !target || (luck >= 0.06 && luck < 0.1);
    const delayMs = STEP_MS * (1 + this.random.nextInteger(4));
    if (isLate) {
      const lateMs = 2000 + this.random.next() * (LATEST_ORDER_MS - 2000);
      const {bornMs} = target;
      // An order that waits inside a worker ends with that life of the worker.
      this.later(lateMs, () => {
        if (target.bornMs === bornMs) order(target);
      });
    }
    if (isLate || isLost) {
      this.later(1000, () => answer(unknown));
      return;
    }
    this.later(delayMs, () => {
      const outcome = order(target);
      const isAnswerLost = this.random.next() < 0.05;
      this.later(delayMs, () => answer(isAnswerLost ? unknown : outcome));
    });
  }

  private later(delayMs: number, deliver: () => void): void {
    this.delayed.push({atMs: this.clock.nowMs() + delayMs, deliver});
  }

  private deliverDelayed(): void {
    const nowMs = this.clock.nowMs();
    const due = this.delayed.filter(({atMs}) => atMs <= nowMs);
    this.delayed = this.delayed.filter(({atMs}) => atMs > nowMs);
    for (const {deliver} of due) deliver();
  }

  private reach(
    token: number,
    workerId: string,
  ): SimulatedTaskWorker | undefined {
    if (this.cutWorkers.get(workerId)?.has(token)) return undefined;
    return this.workers.get(workerId);
  }

  private orchestratorOf(token: number): Orchestrator | undefined {
    return this.terms.find((term) => term.token === token)?.orchestrator;
  }

  private runTerm(term: Term): void {
    const isOwner = term === this.terms.at(-1);
    term.orchestrator.tick();
    for (const worker of [...term.orchestrator.workers.values()]) {
      if (this.random.next() < 0.3) this.look(term, worker);
    }
    term.orchestrator.schedule();
    if (isOwner) this.commit(term);
    if (!isOwner && this.clock.nowMs() > term.certainUntilMs + 5000) {
      this.terms = this.terms.filter((other) => other !== term);
    }
  }

  private look(term: Term, worker: WorkerState): void {
    const target = this.reach(term.token, worker.registration.id);
    const sentMs = this.clock.nowMs();
    const isCertain = sentMs < term.certainUntilMs;
    const leaseUntilMs =
      worker.hasReported && isCertain
        ? worker.leaseLimit(sentMs, LONGEST_LEASE_MS)
        : undefined;
    if (leaseUntilMs !== undefined) worker.recordLease(leaseUntilMs);
    const acknowledgedEnd = worker.sequenceToAcknowledge;
    const outcome = target?.look({
      fencingToken: term.token,
      acknowledgedEnd,
      leaseUntilMs,
    });
    if (outcome?.kind !== 'report' || this.random.next() < 0.05) return;
    this.later(STEP_MS, () => {
      if (this.terms.includes(term)) {
        worker.recordAcknowledged(acknowledgedEnd);
        term.orchestrator.processReport(worker, outcome.report, sentMs);
      }
    });
  }

  /** A commit takes a step; an owner that is replaced meanwhile loses it. */
  private commit(term: Term): void {
    if (term.pending) {
      const {changes, onStored} = term.pending;
      term.pending = undefined;
      for (const change of changes) this.store(change);
      onStored();
    }
    if (term.orchestrator.hasPending) {
      term.pending = term.orchestrator.takePending();
    }
  }

  private store(change: KeyChange): void {
    if (change.value) this.stored.set(change.key, change.value);
    else this.stored.delete(change.key);
  }

  private trouble(): void {
    const luck = this.random.next();
    const ids = [...this.workers.keys()];
    const id = ids[this.random.nextInteger(ids.length)]!;
    if (luck < 0.004) this.takeOver();
    else if (luck < 0.012) this.cut(id);
    else if (luck < 0.018) this.cut(id, this.token);
    else if (luck < 0.03) this.heal(id);
    else if (luck < 0.033) this.restartWorker(id);
    this.finishSome(0.02);
  }

  private restartWorker(id: string): void {
    const worker = this.workers.get(id)!;
    worker.restart(worker.bornMs + 1);
  }

  private finishSome(share: number): void {
    for (const worker of this.workers.values()) {
      for (const task of worker.running) {
        if (this.random.next() >= share) continue;
        const kind = this.random.next() < 0.1 ? EndKind.FAILED : EndKind.DONE;
        worker.finish(task, kind);
      }
    }
  }
}
