import {TestContext} from 'node:test';

import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {OwnerTerm} from '../src/leadership/owner_term.js';
import {OrchestratorRuntime} from '../src/orchestrator/orchestrator_runtime.js';
import {
  CommandOutcome,
  EndKind,
  PollCommand,
  PollOutcome,
  RunCommand,
  StartCommand,
  WorkerPort,
} from '../src/orchestrator/workers/worker_port.js';
import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {MetadataStore, StoreTransaction} from '../src/store/metadata_store.js';
import {Configuration} from '../src/work/configuration.js';
import {JobDefinition} from '../src/work/job_definition.js';
import {JobTable} from '../src/work/job_table.js';
import {ResponseCollector} from '../platform/response_collector.js';
import {silentLog} from './silent_log.js';
import {simpleConfiguration, simpleWorker} from './simple_definitions.js';
import {SimulatedEventLoop} from './simulated_event_loop.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';

/** Time in ms that the owner takes for a piece of work. */
export interface OwnerCosts {
  /** A request to a worker with its response. */
  requestMs: number;
  /** One changed job of a transaction. */
  changeMs: number;
}

/** Options of {@link BusyOwner}. */
export interface BusyOwnerOptions {
  /** Seed of durations and delays. */
  seed: number;
  workers: number;
  costs: OwnerCosts;
  /** @default a {@link simpleConfiguration} */
  configuration?: Configuration;
  /** Returns how long a run works in ms. */
  durationMs: (task: string, random: RandomSource) => number;
}

/** Time in ms that a message takes in one direction. */
const TRANSFER_MS = 4;

/** Timeout in ms for the response to a command, as of the worker client. */
const COMMAND_TIMEOUT_MS = 1000;

const LONGEST_LEASE_MS = 6000;
const TERM_LEASE_MS = 2000;

/** Interval in ms at which the workers check their leases. */
const WORKER_STEP_MS = 50;

/** A worker outside the owner, with the poll that waits on it. */
interface OutsideWorker {
  worker: SimulatedTaskWorker;
  /** Time in ms up to which its clock has advanced. */
  advancedMs: number;
  /** Answers the poll that waits for an end. @default none */
  answerPoll?: () => void;
  /** Start and duration in ms of its runs, by task. */
  runs: Map<string, {startMs: number; durationMs: number}>;
}

/**
 * An owner whose process takes time for its work, with simulated workers and a
 * store that never fail. Nothing but the load of the owner can end a run early.
 */
export class BusyOwner {
  readonly loop: SimulatedEventLoop;
  /** Runs that were started. */
  startedRuns = 0;
  /** Runs that ended because the lease of their worker expired. */
  lapsedRuns = 0;
  /** Runs that were stopped. */
  stoppedRuns = 0;
  /** Simulated time in ms at which each job ended. */
  readonly endedMs = new Map<string, number>();
  /** Terms that ended. */
  endedTerms = 0;
  private readonly startedTaskNames = new Set<string>();
  private readonly random: RandomSource;
  private readonly workers = new Map<string, OutsideWorker>();
  private readonly table: JobTable;
  private storeLeaseEndsMs: number;

  constructor(
    context: TestContext,
    private readonly options: BusyOwnerOptions,
  ) {
    this.loop = new SimulatedEventLoop(context);
    this.random = new SeededRandom(options.seed);
    const keys = new PartitionKeys('main');
    this.table = new JobTable(keys);
    const {clock} = this.loop;
    const log = silentLog();
    const store = this.createStore();
    this.storeLeaseEndsMs = clock.nowMs() + TERM_LEASE_MS;
    const term = new OwnerTerm({
      store,
      clock,
      log,
      lease: 1,
      leaseMs: TERM_LEASE_MS,
      grantedAt: {nowMs: clock.nowMs(), wallMs: clock.wallMs()},
      token: 1,
    });
    term.onEnd(() => (this.endedTerms += 1));
    const runtime = new OrchestratorRuntime({
      clock,
      log,
      store,
      port: this.createPort(),
      advice: {query: () => Promise.reject(new Error('not used'))},
      keys,
      table: this.table,
      term,
      longestLeaseMs: LONGEST_LEASE_MS,
      keepFinishedMs: 3_600_000,
    });
    const recordPhase = this.table.recordPhase.bind(this.table);
    this.table.recordPhase = (jobId, phase) => {
      recordPhase(jobId, phase);
      if (this.table.hasEnded(jobId)) this.endedMs.set(jobId, clock.nowMs());
    };
    runtime.start({
      configuration: options.configuration ?? simpleConfiguration(),
      workers: Array.from({length: options.workers}, (_, number) =>
        this.addWorker(`w${number}`),
      ),
      evacuations: new Set(),
      progress: new Map(),
    });
    this.stepWorkers();
  }

  /** Submits a job after a delay in ms; the owner hears of it when it can. */
  submitAfter(delayMs: number, definition: JobDefinition): void {
    const {loop, table} = this;
    const acceptedWallMs = loop.clock.wallMs() + delayMs;
    loop.after(delayMs, () =>
      loop.deliver(() =>
        table.addSubmission(definition.id, {definition, acceptedWallMs}),
      ),
    );
  }

  /** Number of tasks that were started at least once. */
  get startedTasks(): number {
    return this.startedTaskNames.size;
  }

  /** Number of jobs that have ended. */
  get endedJobs(): number {
    return this.endedMs.size;
  }

  private addWorker(id: string): ReturnType<typeof simpleWorker> {
    const registration = simpleWorker(id, {address: `${id}:1`});
    const worker = new SimulatedTaskWorker({
      registration,
      longestLeaseMs: LONGEST_LEASE_MS,
      onStarted: (task) => this.beginRun(id, task),
      onRemoved: () => undefined,
      onCompleted: () => undefined,
    });
    const advancedMs = this.loop.clock.nowMs();
    this.workers.set(id, {worker, advancedMs, runs: new Map()});
    return registration;
  }

  private beginRun(id: string, task: string): void {
    this.startedRuns += 1;
    this.startedTaskNames.add(task);
    const outside = this.workers.get(id)!;
    const durationMs = this.options.durationMs(task, this.random);
    outside.runs.set(task, {startMs: this.loop.outsideMs, durationMs});
    this.loop.after(
      durationMs,
      () => {
        this.advanceWorker(outside);
        outside.worker.finish(task, EndKind.DONE);
        outside.runs.delete(task);
        outside.answerPoll?.();
      },
      this.loop.outsideMs,
    );
  }

  /** Expires leases in time, also if nobody calls the workers. */
  private stepWorkers(): void {
    this.loop.after(
      WORKER_STEP_MS,
      () => {
        for (const outside of this.workers.values()) this.checkLease(outside);
        this.stepWorkers();
      },
      Math.max(this.loop.outsideMs, 1000),
    );
  }

  private checkLease(outside: OutsideWorker): void {
    const before = outside.worker.running.length;
    this.advanceWorker(outside);
    this.lapsedRuns += before - outside.worker.running.length;
  }

  private advanceWorker(outside: OutsideWorker): void {
    const nowMs = this.loop.outsideMs;
    const passedMs = nowMs - outside.advancedMs;
    if (passedMs <= 0) return;
    outside.advancedMs = nowMs;
    outside.worker.advance(passedMs);
  }

  private createPort(): WorkerPort {
    return {
      start: (command) => this.sendStart(command),
      stop: (command) => this.sendStop(command),
      setSpeedLimit: () => Promise.resolve({kind: 'done'}),
      poll: (command) => this.sendPoll(command),
    };
  }

  private async sendStart(command: StartCommand): Promise<CommandOutcome> {
    const reply = await this.call<CommandOutcome>(
      COMMAND_TIMEOUT_MS,
      (respond) => {
        const outside = this.workers.get(command.worker.id)!;
        this.advanceWorker(outside);
        respond(outside.worker.start(command));
      },
    );
    return reply ?? {kind: 'unknown', reason: 'no response'};
  }

  private async sendStop(command: RunCommand): Promise<CommandOutcome> {
    const reply = await this.call<CommandOutcome>(
      COMMAND_TIMEOUT_MS,
      (respond) => {
        const outside = this.workers.get(command.worker.id)!;
        this.advanceWorker(outside);
        const before = outside.worker.running.length;
        const outcome = outside.worker.stop(command);
        this.stoppedRuns += before - outside.worker.running.length;
        respond(outcome);
      },
    );
    return reply ?? {kind: 'unknown', reason: 'no response'};
  }

  private async sendPoll(command: PollCommand): Promise<PollOutcome> {
    const waitMs = command.waitMs ?? 0;
    const reply = await this.call<PollOutcome>(
      waitMs + COMMAND_TIMEOUT_MS,
      (respond) => this.holdPoll(command, respond),
    );
    return reply ?? {kind: 'unknown', reason: 'timeout', hasTimedOut: true};
  }

  /** Answers a poll once a run has ended or its wait is over. */
  private holdPoll(
    command: PollCommand,
    respond: (outcome: PollOutcome) => void,
  ): void {
    const outside = this.workers.get(command.worker.id)!;
    this.advanceWorker(outside);
    const first = this.pollNow(outside, command);
    const hasEnds = first.kind === 'report' && first.report.ended.length > 0;
    const waitMs = command.waitMs ?? 0;
    if (first.kind !== 'report' || hasEnds || waitMs === 0) {
      respond(first);
      return;
    }
    const answer = (): void => {
      if (outside.answerPoll !== answer) return;
      outside.answerPoll = undefined;
      this.advanceWorker(outside);
      const {fencingToken} = command;
      respond(this.pollNow(outside, {fencingToken, acknowledgedSequence: 0}));
    };
    outside.answerPoll = answer;
    this.loop.after(waitMs, answer, this.loop.outsideMs);
  }

  /** Polls a worker, whose runs make even progress. */
  private pollNow(
    {worker, runs}: OutsideWorker,
    query: Parameters<SimulatedTaskWorker['poll']>[0],
  ): PollOutcome {
    const outcome = worker.poll(query);
    if (outcome.kind !== 'report') return outcome;
    const running = outcome.report.running.map((row) => {
      const {startMs, durationMs} = runs.get(row.task)!;
      const workedMs = this.loop.outsideMs - startMs;
      return {...row, percent: Math.floor((100 * workedMs) / durationMs)};
    });
    return {kind: 'report', report: {...outcome.report, running}};
  }

  /** Carries out a call; undefined if its timeout passes before the response. */
  private async call<T>(
    timeoutMs: number,
    execute: (respond: (value: T) => void) => void,
  ): Promise<T | undefined> {
    const {loop} = this;
    const {requestMs} = this.options.costs;
    loop.charge(requestMs / 2);
    const collector = new ResponseCollector({
      timeoutMs,
      currentConnection: () => 1,
    });
    collector.onRequestStart({abort: () => undefined} as never);
    let result: T | undefined;
    const receive = (value: T): void =>
      loop.deliver(() => {
        loop.charge(requestMs / 2);
        result = value;
        collector.onResponseEnd();
      });
    loop.after(TRANSFER_MS, () =>
      execute((value) =>
        loop.after(TRANSFER_MS, () => receive(value), loop.outsideMs),
      ),
    );
    await collector.response.catch(() => undefined);
    return result;
  }

  private createStore(): MetadataStore {
    let revision = 1;
    const {loop} = this;
    const send = <T>(costMs: number, execute: () => T): Promise<T> => {
      loop.charge(costMs);
      return new Promise((resolve) =>
        loop.after(TRANSFER_MS, () => {
          const value = execute();
          loop.after(
            TRANSFER_MS,
            () => loop.deliver(() => resolve(value)),
            loop.outsideMs,
          );
        }),
      );
    };
    return {
      commit: ({write}: StoreTransaction) =>
        send(write.length * this.options.costs.changeMs, () => {
          revision += 1;
          return {kind: 'committed', revision};
        }),
      renewLease: () =>
        send(0, () => {
          if (loop.outsideMs > this.storeLeaseEndsMs) return false;
          this.storeLeaseEndsMs = loop.outsideMs + TERM_LEASE_MS;
          return true;
        }),
      endLease: () => Promise.resolve(),
    } as unknown as MetadataStore;
  }
}
