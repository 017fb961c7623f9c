import {Resources} from '../workers/resources.js';
import {WorkerReport} from '../workers/worker_client.js';
import {ShardTimings} from './shard_timings.js';

/** A worker's clock reading and when it was received. */
interface ClockReading {
  clockMs: number;
  receivedAtMs: number;
}

/** An operation that waits for its turn; details are filled in when sent. */
export type QueuedOperation =
  | {name: 'start'; taskId: string}
  | {name: 'checkpoint'; taskId: string}
  | {name: 'throttle'; taskId: string; throttle: number}
  | {name: 'stop'; taskId: string}
  | {name: 'forget'; taskIds: string[]};

/** What the owner of a shard knows of one worker. */
export class ShardWorker {
  incarnation = '';
  /** The current incarnation was read back under this epoch. */
  isReadBack = false;
  /** Some incarnation was read back under this epoch. */
  wasReadBack = false;
  /** Ownership was confirmed after the current incarnation was read back. */
  isConfirmed = false;
  /** Ownership was confirmed after all leases had certainly expired. */
  isExpiryConfirmed = false;
  isGone = false;
  /** It runs more than it has; another owner or the worker is at fault. */
  isOvercommitted = false;
  /** The latest command failed; only the next contact is sent. */
  isFailing = false;
  isLeaving = false;
  capacity: Resources | undefined;
  /** Capacity that placement knows. */
  registeredCapacity: Resources | undefined;
  reading: ClockReading | undefined;
  /** Owner's time from which all leases have certainly expired. */
  leasesEndMs = 0;
  /** Tasks in the latest report that no longer run. */
  endedTaskIds = new Set<string>();
  /** Latest `startBeforeMs` sent for a task, in the worker's clock. */
  readonly startDeadlines = new Map<string, number>();
  readonly operations: QueuedOperation[] = [];
  inFlight: {commandId: number; name: string; taskId?: string} | undefined;
  nextContactMs = 0;

  constructor(
    readonly name: string,
    private readonly timings: ShardTimings,
  ) {}

  /** Tells whether the worker may get a new task now. */
  canAcceptTasks(nowMs: number): boolean {
    return (
      !this.isGone &&
      !this.isOvercommitted &&
      !this.isLeaving &&
      this.isReadBack &&
      this.isConfirmed &&
      nowMs - this.reading!.receivedAtMs <= this.timings.maxReadingAgeMs
    );
  }

  /** End of a lease computed from the latest reading, in the worker's clock. */
  grantLease(): number {
    const {leaseMs} = this.timings;
    this.extendLeaseBound(leaseMs);
    return this.reading!.clockMs + leaseMs;
  }

  /** Takes a report of the current incarnation under this epoch. */
  recordReport(report: WorkerReport, nowMs: number): void {
    this.reading = {clockMs: report.clockMs, receivedAtMs: nowMs};
    this.capacity = report.capacity;
    this.isExpiryConfirmed = false;
    for (const task of report.tasks) {
      if (task.state !== 'running') continue;
      this.extendLeaseBound(task.leaseUntilMs - report.clockMs);
    }
    for (const [taskId, deadlineMs] of this.startDeadlines) {
      if (deadlineMs < report.clockMs) this.startDeadlines.delete(taskId);
    }
  }

  /** Forgets what was known of the previous incarnation. */
  resetForIncarnation(incarnation: string): void {
    this.incarnation = incarnation;
    this.isReadBack = false;
    this.isConfirmed = false;
    this.isExpiryConfirmed = false;
    this.endedTaskIds.clear();
    this.startDeadlines.clear();
  }

  private extendLeaseBound(remainingMs: number): void {
    const {clockRateMargin, leaseSlackMs} = this.timings;
    const endMs =
      this.reading!.receivedAtMs + remainingMs * clockRateMargin + leaseSlackMs;
    this.leasesEndMs = Math.max(this.leasesEndMs, endMs);
  }
}
