import {StepDefinition} from '../../work/job_definition.js';
import {formatTaskName} from '../../work/task_name.js';
import {CheckpointSlot} from './checkpoint_slot.js';
import {CrashCounts} from '../suspicion/crash_counts.js';
import {CrashRole} from '../../work/crash_role.js';
import {StoredLoss} from '../../work/stored_loss.js';
import {JobState} from '../jobs/job_state.js';
import {RunEvent, runLifeCycle, RunState} from './run_life_cycle.js';

/** Worker on which a run is or may be active. */
export interface Assignment {
  workerId: string;
  /** Incarnation of the worker, as its Unix start time in ms; 0 if unknown. */
  workerBornMs: number;
  /** Host and port of the worker. @default unknown */
  workerAddress?: string;
}

/** One task of one step of one occurrence of a job. */
export class TaskState {
  readonly name: string;
  private currentState: RunState = runLifeCycle.initial;
  /** Number of the latest run; 0 before the first. */
  run = 0;
  /** Number of runs that failed. */
  failures = 0;
  /** Set while a run is or may be active on a worker. */
  assignment: Assignment | undefined;
  /** Progress in percent, as last reported. */
  percent = 0;
  /** Time in ms at which `percent` last changed. */
  lastProgressMs = 0;
  /** Percentage of full speed at which the task may run. */
  speedLimitPercent = 100;
  /**
   * Whether {@link speedLimitPercent} was set by this owner. An earlier owner may
   * have limited or paused a run that it left.
   */
  isSpeedKnown = true;
  /**
   * Whether the current run began without a checkpoint and was never limited, so
   * that its duration tells how long such tasks take.
   */
  isUnlimitedRun = false;
  /** Percentage of full speed to which its current run is limited at first. */
  startSpeedPercent = 100;
  /** Time in ms since which its tail latency exceeds its limit, or Infinity. */
  overLimitSinceMs = Infinity;
  /** Latest reported tail latency in ms or CPU use; see RunningReport. */
  gauge: number | undefined;
  /**
   * If a poll that was sent after this time in ms reports the run neither as
   * running nor as ended, the run is no longer on the worker.
   */
  absentAfterMs = Infinity;
  /** Time in ms of the latest stop command; -Infinity if none. */
  stopSentMs = -Infinity;
  /** Time in ms at which its latest run ended or this owner added it. */
  waitingSinceMs = -Infinity;
  /**
   * Time in ms at which a run of it, now ended or told to stop, was last known to
   * be active, or this owner added the task. A refused start does not count.
   */
  lastActiveMs = -Infinity;
  /** Time in ms at which the current run was assigned. */
  assignedMs = -Infinity;
  /**
   * Time in ms at which this owner sent the start command; -Infinity if an
   * earlier owner did, at a time that is not known.
   */
  startedMs = 0;
  /**
   * Whether the current run has been seen: its worker has confirmed the start or
   * listed the run. If not, at most an order was sent.
   */
  hasBegun = false;
  /** Number of starts in a row that workers have refused. */
  refusals = 0;
  /** Workers that have refused it since its last run or since all of them did. */
  readonly refusedBy = new Set<string>();
  /** Time in ms before which the task is not assigned again. */
  notBeforeMs = -Infinity;
  /** Time in ms at which the task was last stopped to move it elsewhere. */
  lastMovedMs = -Infinity;
  /** Time in ms of the last search for a worker to move the task to. */
  lastMoveCheckMs = -Infinity;
  /**
   * Time in ms since which only the isolation of suspects keeps it from running;
   * Infinity if it has had no room otherwise since its latest run.
   */
  isolatedSinceMs = Infinity;
  /** Time in ms of the last search for a worker without isolation. */
  lastIsolationSearchMs = -Infinity;
  /** Ticket from the advice service for the current run. */
  ticket: string | undefined;
  /** Worker crashes under its runs. */
  readonly crashes = new CrashCounts();
  /** Losses of its workers of which it is not known whether they crashed. */
  readonly losses: StoredLoss[] = [];
  /** Losses that an earlier owner stored and this one has not taken up yet. */
  readonly storedLosses: StoredLoss[] = [];
  /** Time in ms at which the current run was first known to be active. */
  runningSinceMs = Infinity;
  /**
   * Whether its worker has reported long enough after the start of the run to
   * show that the start did not crash it.
   */
  isProven = false;
  /** Number of runs that were stopped because they made no progress. */
  stuckRuns = 0;
  /** Address at which a worker crashed under it last. */
  crashedAddress: string | undefined;
  /** Worker on which the latest run failed or made no progress. */
  failedWorkerId: string | undefined;

  /**
   * @param checkpointSlot - Shared by the members of a gang, which resume from
   *     the same checkpoint. @default one of its own
   */
  constructor(
    readonly job: JobState,
    readonly step: StepDefinition,
    readonly position: {occurrence: number; step: number; index: number},
    private readonly checkpointSlot = new CheckpointSlot(),
  ) {
    this.name = formatTaskName({jobId: job.definition.id, ...position});
    if (this.currentState === 'waiting') job.waitingCount += 1;
  }

  /** Latest checkpoint to resume from; empty if none. */
  get checkpoint(): string {
    return this.checkpointSlot.value;
  }

  set checkpoint(checkpoint: string) {
    this.checkpointSlot.value = checkpoint;
  }

  /** State of the latest run, or 'waiting' if a worker has to be found. */
  get state(): RunState {
    return this.currentState;
  }

  /** Applies an event; returns false if the current state ignores it. */
  apply(event: RunEvent): boolean {
    const next = runLifeCycle.next(this.state, event);
    if (next === undefined) return false;
    if (this.currentState === 'waiting') this.job.waitingCount -= 1;
    if (next === 'waiting') this.job.waitingCount += 1;
    this.currentState = next;
    if (event === 'assigned') {
      this.hasBegun = false;
      this.isolatedSinceMs = Infinity;
    }
    if (event === 'confirmed') this.hasBegun = true;
    return true;
  }

  /** Whether the task may be what crashed a worker. */
  get isSuspect(): boolean {
    return (
      this.crashes.isSuspect ||
      this.losses.some(({part}) => part.role !== CrashRole.BYSTANDER)
    );
  }

  /**
   * Whether it may start on a worker together with others that may crash it: a
   * long-running task, which crashes never end, suspected for one crash.
   */
  get mayShareSuspicion(): boolean {
    if (!this.step.isLongRunning || this.crashes.isRepeated) return false;
    const counted = this.crashes.isEmpty ? 0 : 1;
    return counted + this.losses.length <= 1;
  }

  /** Whether a run of the task is or may be active on a worker. */
  get isPlaced(): boolean {
    return this.assignment !== undefined;
  }
}
