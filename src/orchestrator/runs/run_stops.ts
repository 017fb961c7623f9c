import {Clock} from '../../clock/clock.js';
import {NodeLog} from '../../logging/node_log.js';
import {OrchestratorEffects} from '../orchestrator_effects.js';
import {TaskState} from './task_state.js';
import {CommandOutcome, RefusalReason} from '../workers/worker_port.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link RunStops}. */
export interface RunStopsOptions {
  clock: Clock;
  log: NodeLog;
  effects: Pick<OrchestratorEffects, 'stop'>;
  /** Returns the worker of the current run of a task, if there is one. */
  workerOf: (task: TaskState) => WorkerState | undefined;
}

/** Time in ms after which an unanswered stop command is sent again. */
const STOP_RESEND_MS = 600;

/** Stops runs of tasks, and repeats stops that are not answered. */
export class RunStops {
  constructor(private readonly options: RunStopsOptions) {}

  /**
   * Stops the current run of a task, unless it is being stopped.
   *
   * @param reason - Why it is stopped, for the log.
   */
  request(task: TaskState, reason: string): void {
    if (!task.apply('stopRequested')) return;
    task.absentAfterMs = Infinity;
    task.lastActiveMs = this.options.clock.nowMs();
    if (!task.job.isFinal) task.job.history.stoppedRuns += 1;
    this.options.log.logDetail('stop', {
      task: task.name,
      run: task.run,
      reason,
    });
    this.send(task);
  }

  /** Sends the stop of a run whose state says that it is to be stopped. */
  send(task: TaskState): void {
    const worker = this.options.workerOf(task);
    if (!worker) return;
    task.stopSentMs = this.options.clock.nowMs();
    this.options.effects.stop(task, worker);
  }

  /** Sends the stop of a run again if it is not answered in time. */
  resendIfDue(task: TaskState, nowMs: number): void {
    if (task.state !== 'stopping' || task.absentAfterMs !== Infinity) return;
    if (nowMs - task.stopSentMs >= STOP_RESEND_MS) this.send(task);
  }

  /** Handles the outcome of the stop of a run. */
  handleOutcome(task: TaskState, run: number, outcome: CommandOutcome): void {
    if (task.run !== run || task.state !== 'stopping') return;
    const isConclusive =
      outcome.kind === 'done' ||
      (outcome.kind === 'refused' &&
        outcome.reason === RefusalReason.OTHER_INCARNATION);
    const {clock, log} = this.options;
    if (isConclusive) {
      task.absentAfterMs = Math.min(task.absentAfterMs, clock.nowMs());
      return;
    }
    log.logDetail('stop-not-confirmed', {
      task: task.name,
      run,
      worker: task.assignment?.workerId,
      outcome: outcome.kind,
      reason: outcome.reason,
    });
  }
}
