import {Resources} from '../workers/resources.js';
import {WorkerReport} from '../workers/worker_client.js';
import {ShardTimings} from './shard_timings.js';

/** Reading of a worker's clock, with the owner's time of receipt. */
interface ClockReading {
  clockMs: number;
  receivedAtMs: number;
}

/** A queued operation; a start gets its remaining fields when it is sent. */
export type QueuedOperation =
  | {name: 'start'; taskId: string}
  | {name: 'checkpoint'; taskId: string}
  | {name: 'throttle'; taskId: string; throttle: number}
  | {name: 'stop'; taskId: string}
  | {name: 'forget'; taskIds: string[]};

/** State of one worker, as known to the owner of its shard. */
export class ShardWorker {
  incarnation = '';
  /** Whether the current incarnation was read back under this epoch. */
  isReadBack = false;
  /** Whether any incarnation was read back under this epoch. */
  wasReadBack = false;
  /** Whether ownership was confirmed after that read-back. */
  isConfirmed = false;
  /** Whether ownership was confirmed after all leases had expired. */
  isExpiryConfirmed = false;
  /** Whether the VM was removed from the VM list. */
  isRemoved = false;
  /**
   * Whether its tasks exceed its capacity, which only a fault of another owner
   * or of the worker can cause.
   */
  isOvercommitted = false;
  /** Whether the latest command failed; queued operations are held back. */
  isFailing = false;
  isLeaving = false;
  capacity: Resources | undefined;
  /** Capacity registered with the placement policy. */
  registeredCapacity: Resources | undefined;
  reading: ClockReading | undefined;
  /** Owner's time in ms after which all leases have certainly expired. */
  leasesEndMs = 0;
  /** IDs of the tasks that no longer run in the latest report. */
  endedTaskIds = new Set<string>();
  /** Latest `startBeforeMs` sent for each task, on the worker's clock. */
  readonly startDeadlines = new Map<string, number>();
  readonly operations: QueuedOperation[] = [];
  inFlight: {commandId: number; name: string; taskId?: string} | undefined;
  nextContactMs = 0;

  constructor(
    readonly name: string,
    private readonly timings: ShardTimings,
  ) {}

  /** Whether a new task may be started on the worker now. */
  canAcceptTasks(nowMs: number): boolean {
    return (
      !this.isRemoved &&
      !this.isOvercommitted &&
      !this.isLeaving &&
      this.isReadBack &&
      this.isConfirmed &&
      nowMs - this.reading!.receivedAtMs <= this.timings.maxReadingAgeMs
    );
  }

  /** Returns the end of a new lease on the worker's clock, in ms. */
  grantLease(): number {
    const {leaseMs} = this.timings;
    this.extendLeaseBound(leaseMs);
    return this.reading!.clockMs + leaseMs;
  }

  /** Records a report of the current incarnation under this epoch. */
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

  /** Resets the state that belongs to the previous incarnation. */
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
