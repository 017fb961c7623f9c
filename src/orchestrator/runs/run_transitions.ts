import {Clock} from '../../clock/clock.js';
import {NodeLog} from '../../logging/node_log.js';
import {JobPhase} from '../../work/job_definition.js';
import {countFailedRuns, countFailure} from './failed_attempts.js';
import {JobEndings} from '../jobs/job_endings.js';
import {JobState} from '../jobs/job_state.js';
import {OrchestratorEvent} from '../orchestrator_event.js';
import {PendingChanges} from '../jobs/pending_changes.js';
import {QueueTable} from '../jobs/queue_table.js';
import {crashPauseMs} from './restart_delay.js';
import {RunStops} from './run_stops.js';
import {RunTimeEstimates} from './run_time_estimates.js';
import {SpeedLimits} from '../workers/speed_limits.js';
import {stepOf} from '../placement/task_scheduler.js';
import {TaskState} from './task_state.js';
import {EndKind} from '../workers/worker_port.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link RunTransitions}. */
export interface RunTransitionsOptions {
  clock: Clock;
  log: NodeLog;
  queues: QueueTable;
  changes: Pick<PendingChanges, 'noteTask'>;
  stops: RunStops;
  endings: JobEndings;
  speedLimits: SpeedLimits;
  /** Learns run times. @default not learned */
  estimates?: RunTimeEstimates;
  /** Counts an event in the metrics. @default not counted */
  countEvent?: (event: OrchestratorEvent) => void;
  /** Returns the worker of the current run of a task, if there is one. */
  workerOf: (task: TaskState) => WorkerState | undefined;
  /** Called with each job that has changed, which is to be stored. */
  onJobChanged: (job: JobState) => void;
  /** Called with each task that has changed, if nothing else of its job has. */
  onTaskChanged: (task: TaskState) => void;
}

/** How runs end that their worker lost or no longer reports. */
const LOST_RUN_ENDS: ReadonlySet<string> = new Set([
  'not-there',
  'worker-ended',
  EndKind.LEASE_ENDED,
]);

/**
 * Applies what is learned of the current runs of tasks to the tasks and their
 * jobs: that a run was seen, has ended, or stood on a worker that crashed.
 */
export class RunTransitions {
  constructor(private readonly options: RunTransitionsOptions) {}

  /** Records that a run is on its worker. */
  confirm(task: TaskState): void {
    if (!task.hasBegun) this.recordBegun(task);
    if (!task.apply('confirmed')) return;
    const nowMs = this.options.clock.nowMs();
    task.lastProgressMs = nowMs;
    task.refusals = 0;
    task.refusedBy.clear();
    task.runningSinceMs = nowMs;
    task.absentAfterMs = Math.min(task.absentAfterMs, nowMs);
    task.speedLimitPercent = task.startSpeedPercent;
    const worker = this.options.workerOf(task);
    if (task.job.isFinal) this.options.stops.request(task, 'job-ended');
    else if (task.speedLimitPercent < 100 && worker) {
      this.options.speedLimits.send(task, worker);
    }
  }

  /**
   * Records that the current run of a task was seen. A successor has to know so
   * of a suspect: it counts a crash under the run.
   */
  recordBegun(task: TaskState): void {
    task.hasBegun = true;
    this.recordStarted(task.job);
    if (task.isSuspect) this.options.onTaskChanged(task);
    else this.options.changes.noteTask(task);
  }

  /** Records that a run of a job was seen, with which its phase changes. */
  private recordStarted(job: JobState): void {
    if (job.recordStarted()) this.options.onJobChanged(job);
  }

  /** Handles the end of a run that has neither succeeded nor failed. */
  end(task: TaskState, how: string): void {
    if (!task.isPlaced) return;
    if (task.hasBegun && LOST_RUN_ENDS.has(how)) {
      task.job.history.lostRuns += 1;
    }
    this.options.log.logDetail('run-ended', {
      task: task.name,
      run: task.run,
      worker: task.assignment?.workerId,
      how,
      tookMs: this.ranMsOf(task),
      failures: task.failures,
    });
    this.clearAssignment(task);
    const nowMs = this.options.clock.nowMs();
    if (task.state === 'running') task.lastActiveMs = nowMs;
    task.waitingSinceMs = nowMs;
    if (!task.apply('ended')) task.apply('withdrawn');
    this.options.onTaskChanged(task);
  }

  /** Returns the time in ms since a start; undefined if it is not known. */
  private ranMsOf({startedMs}: TaskState): number | undefined {
    if (startedMs === -Infinity) return undefined;
    return Math.round(this.options.clock.nowMs() - startedMs);
  }

  /** Handles the success of a run. */
  finish(task: TaskState): void {
    const nowMs = this.options.clock.nowMs();
    this.options.log.logDetail('run-done', {
      task: task.name,
      run: task.run,
      worker: task.assignment?.workerId,
      tookMs: this.ranMsOf(task),
      estimatedMs: task.step.estimatedMs,
    });
    this.recordStarted(task.job);
    this.recordRunTime(task);
    this.options.workerOf(task)?.health.recordSuccess(nowMs);
    if (task.step.isLongRunning) {
      this.end(task, 'done');
      return;
    }
    if (task.step.isGang) this.finishGang(task);
    else this.markDone(task);
    this.completeJob(task.job);
  }

  private recordRunTime(task: TaskState): void {
    const tookMs = this.ranMsOf(task);
    if (tookMs === undefined || !task.isUnlimitedRun) return;
    const {estimatedMs} = task.step;
    const step = stepOf(task).runTimes;
    const {queue} = task.job.definition;
    this.options.estimates?.record(queue, {estimatedMs, tookMs, step});
  }

  private markDone(task: TaskState): void {
    if (!task.apply('done')) return;
    this.clearAssignment(task);
    task.job.recordTaskDone(task, this.options.clock.nowMs());
    this.options.onTaskChanged(task);
  }

  private finishGang(task: TaskState): void {
    for (const member of stepOf(task).tasks) this.markDone(member);
  }

  private completeJob(job: JobState): void {
    if (job.isFinal || !job.isComplete) return;
    this.options.endings.end(job, JobPhase.SUCCEEDED);
  }

  /** Handles a failed run, which ends its job at the limit of attempts. */
  fail(task: TaskState): void {
    countFailure(task);
    task.job.history.recordFailure(task.assignment?.workerId);
    this.recordStarted(task.job);
    const nowMs = this.options.clock.nowMs();
    task.failedWorkerId = task.assignment?.workerId;
    this.options.workerOf(task)?.health.recordFailure(nowMs);
    this.end(task, 'failed');
    if (task.step.isLongRunning || task.job.isFinal) return;
    const {maxAttempts} = this.options.queues.termsOf(task.job);
    if (countFailedRuns(task) >= maxAttempts) {
      const cause = {cause: 'attempts', task: task.name};
      this.options.endings.end(task.job, JobPhase.FAILED, cause);
    }
  }

  /**
   * Stores the changed crash counts of a task. A finite task that has crashed too
   * many workers is not started again, which ends its job; a long-running one is
   * started again after a pause that grows with its crashes.
   */
  handleCrashCount(task: TaskState): void {
    if (task.job.isFinal) return;
    this.options.onJobChanged(task.job);
    if (task.isSuspect) this.options.workerOf(task)?.addSuspect(task);
    if (task.step.isLongRunning) {
      // It runs until its job is cancelled, whatever happens to its workers.
      const nowMs = this.options.clock.nowMs();
      task.notBeforeMs = nowMs + crashPauseMs(task.crashes.possibleCrashes);
      return;
    }
    if (!task.crashes.isOverLimit) return;
    const {job, name, run} = task;
    this.options.countEvent?.(OrchestratorEvent.TASK_GIVEN_UP);
    this.options.log.logDecision('task-given-up', {
      job: job.definition.id,
      task: name,
      run,
      ...task.crashes.toRecord(),
    });
    this.options.endings.end(job, JobPhase.FAILED, {
      cause: 'crashes',
      task: name,
    });
  }

  /**
   * Ends the run of a gang of which a member does not start. The others would
   * occupy their workers until the gang times out.
   */
  abandonGang(task: TaskState): void {
    for (const member of stepOf(task).tasks) {
      if (member.state === 'assigned') this.end(member, 'withdrawn');
      else if (member.state === 'running') {
        this.options.stops.request(member, 'gang-refused');
      } else if (member.apply('doubted')) this.options.stops.send(member);
    }
  }

  /** Takes the assignment of a task back, which frees its room. */
  clearAssignment(task: TaskState): void {
    this.options.workerOf(task)?.removeTask(task);
    task.assignment = undefined;
  }
}
