import {Clock} from '../../clock/clock.js';
import {sleep} from '../../clock/sleep.js';
import {OwnerTerm} from '../../leadership/owner_term.js';
import {NodeLog} from '../../logging/node_log.js';
import {Orchestrator} from '../orchestrator.js';
import {RefusalReason, WorkerPort} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link WorkerSession}. */
export interface WorkerSessionOptions {
  clock: Clock;
  log: NodeLog;
  term: OwnerTerm;
  port: WorkerPort;
  orchestrator: Orchestrator;
  worker: WorkerState;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Resolves once all changes that were pending at the call are committed. */
  whenCommitted: () => Promise<void>;
  /** Called after each report, which may change what can be placed. */
  onChange: () => void;
  /** Returns whether the process is behind with its events. @default never */
  isBehind?: () => boolean;
}

/** Long-poll timeout in ms for workers with latency-critical tasks. */
const LATENCY_CRITICAL_WAIT_MS = 700;

/**
 * Timeout in ms while a tail latency is near its limit, or while a task may
 * crash the worker; gauges renew each 500 ms.
 */
const NEAR_LIMIT_WAIT_MS = 450;

/** Long-poll timeout in ms for other workers. */
const IDLE_WAIT_MS = 1300;

/** Delay in ms before the next poll after a failed one. */
const RETRY_MS = 200;

/** Maximum wait in ms for the commit after which ends can be acknowledged. */
const COMMIT_WAIT_MS = 1000;

/**
 * Pause in ms before the next poll while the process is behind. A poll returns
 * with the first end; after the pause it brings several for the same cost.
 */
const BEHIND_PAUSE_MS = 300;

/** Polls one worker, one poll at a time, to extend its lease and read reports. */
export class WorkerSession {
  private stopped = false;
  private isReachable = true;

  constructor(private readonly options: WorkerSessionOptions) {}

  /**
   * Polls until the term ends or {@link stop} is called. An unexpected error in
   * a report is logged and does not end the session.
   */
  async run(): Promise<void> {
    const {term, worker, log} = this.options;
    while (!this.stopped && !term.isOver) {
      try {
        if (worker.registration.address === '') await sleep(RETRY_MS);
        else await this.pollOnce();
      } catch (error) {
        const {id} = worker.registration;
        log.logError('report-failed', error as Error, {worker: id});
        await sleep(RETRY_MS);
      }
    }
  }

  /** Stops polling and ignores the response to a poll in progress. */
  stop(): void {
    this.stopped = true;
  }

  private async pollOnce(): Promise<void> {
    const {clock, port, worker, term, orchestrator} = this.options;
    term.renewIfDue();
    const sentMs = clock.nowMs();
    // After a failed poll, the worker may have restarted under its id.
    const acknowledgedSequence = this.isReachable
      ? worker.sequenceToAcknowledge
      : 0;
    const outcome = await port.poll({
      worker: worker.registration,
      fencingToken: term.token,
      acknowledgedSequence,
      leaseUntilMs: this.extendLease(sentMs),
      waitMs: this.waitMs(),
    });
    if (this.stopped || term.isOver) return;
    if (outcome.kind === 'report') {
      this.setReachable(true);
      worker.recordAcknowledged(acknowledgedSequence);
      orchestrator.processReport(worker, outcome.report, sentMs);
      this.options.onChange();
      await this.waitForCommit();
      await this.pauseIfBehind();
      return;
    }
    const hasTimedOut = outcome.kind === 'unknown' && outcome.hasTimedOut;
    orchestrator.handleSilence(worker, {isTimeout: hasTimedOut});
    this.setReachable(false, outcome.reason);
    if (outcome.reason === RefusalReason.OTHER_INCARNATION) {
      orchestrator.handleReplacement(worker);
    }
    if (outcome.reason === RefusalReason.FENCED) {
      term.end('a worker reported a higher fencing token');
    }
    await sleep(RETRY_MS);
  }

  /**
   * Returns the lease limit to request. There is none while the lease of the
   * term may have expired, and none after an unanswered poll: the worker may
   * have extended its lease, and that lease has to expire before the tasks of a
   * lost worker are placed again.
   */
  private extendLease(nowMs: number): number | undefined {
    const {worker, term, longestLeaseMs} = this.options;
    if (!worker.hasReported || !term.isLeaseValid) return undefined;
    if (!this.isReachable) return undefined;
    const leaseUntilMs = worker.leaseLimit(nowMs, longestLeaseMs);
    worker.recordLease(leaseUntilMs);
    return leaseUntilMs;
  }

  private waitMs(): number {
    const {worker} = this.options;
    if (!worker.hasReported || !this.isReachable) return 0;
    if (worker.processedSequence > worker.storedSequence) return 0;
    if (worker.tasks.size === 0) return IDLE_WAIT_MS;
    if (worker.unprovenSuspect()) return NEAR_LIMIT_WAIT_MS;
    if (worker.latencyCriticalCount === 0) return IDLE_WAIT_MS;
    return worker.isNearLimit ? NEAR_LIMIT_WAIT_MS : LATENCY_CRITICAL_WAIT_MS;
  }

  /** Waits for a commit; until then, a poll would only repeat the same ends. */
  private async waitForCommit(): Promise<void> {
    const {worker, whenCommitted} = this.options;
    if (worker.processedSequence === worker.storedSequence) return;
    await Promise.race([whenCommitted(), sleep(COMMIT_WAIT_MS)]);
  }

  /**
   * Lets ends gather on the worker while the process is behind, unless an urgent
   * task runs there or a tail latency has to be watched.
   */
  private async pauseIfBehind(): Promise<void> {
    const {isBehind, orchestrator, worker} = this.options;
    if (!isBehind?.() || worker.isNearLimit) return;
    if (orchestrator.runsUrgentTask(worker)) return;
    await sleep(BEHIND_PAUSE_MS);
  }

  private setReachable(isReachable: boolean, reason?: string): void {
    if (isReachable === this.isReachable) return;
    this.isReachable = isReachable;
    const {log, worker} = this.options;
    const facts = {
      worker: worker.registration.id,
      tasks: worker.tasks.size,
      leaseLeftMs: Math.round(worker.leaseEndsMs - this.options.clock.nowMs()),
    };
    if (isReachable) log.logDecision('worker-regained', facts);
    else log.logDecision('worker-lost', {...facts, reason});
  }
}
