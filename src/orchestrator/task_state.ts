import {StepDefinition} from '../work/job_definition.js';
import {formatTaskName} from '../work/task_name.js';
import {JobState} from './job_state.js';
import {RunEvent, runLifeCycle, RunState} from './run_life_cycle.js';

/** Where a run is or may be. */
export interface Assignment {
  workerId: string;
  /** Life of the worker, from its Unix time of start in ms; 0 if unknown. */
  workerBornMs: number;
}

/** One task of one step of one occurrence of a job. */
export class TaskState {
  readonly name: string;
  state: RunState = runLifeCycle.initial;
  /** Number of the latest run; 0 before the first. */
  run = 0;
  /** Runs that ended as failed. */
  failures = 0;
  /** Set while a run is or may be on a worker. */
  assignment: Assignment | undefined;
  checkpoint = '';
  percent = 0;
  /** Time in ms at which `percent` last changed. */
  lastProgressMs = 0;
  /** Share of its speed in percent at which the task may work. */
  speedLimitPercent = 100;
  /** Time in ms since which its tail is over its limit; Infinity if not. */
  overLimitSinceMs = Infinity;
  /** Latest gauge of the worker's report. */
  gauge: number | undefined;
  /**
   * A look sent after this time in ms that lists the run neither as running
   * nor as ended shows that it is not there.
   */
  absentAfterMs = Infinity;
  /** Time in ms of the latest stop order; -Infinity if none. */
  stopSentMs = -Infinity;
  /** Time in ms of the start that was sent; for logs and estimates. */
  startedMs = 0;
  /** Time in ms before which the task is not assigned again. */
  notBeforeMs = -Infinity;
  /** Time in ms at which it was last stopped to run elsewhere. */
  lastMovedMs = -Infinity;
  /** Permission of the advice service for the current run. */
  ticket: string | undefined;
  /** Worker on which the latest run failed. */
  failedWorkerId: string | undefined;

  constructor(
    readonly job: JobState,
    readonly step: StepDefinition,
    readonly position: {occurrence: number; step: number; index: number},
  ) {
    this.name = formatTaskName({jobId: job.definition.id, ...position});
  }

  /** Moves the task on; returns false if the event has no effect now. */
  apply(event: RunEvent): boolean {
    const next = runLifeCycle.next(this.state, event);
    if (next === undefined) return false;
    this.state = next;
    return true;
  }

  /** Tells whether the task runs or may run on a worker. */
  get isPlaced(): boolean {
    return this.assignment !== undefined;
  }
}
