import {NodeLog} from '../../logging/node_log.js';
import {BestEffortController} from '../placement/best_effort_controller.js';
import {OrchestratorEffects} from '../orchestrator_effects.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link SpeedLimits}. */
export interface SpeedLimitsOptions {
  log: NodeLog;
  effects: Pick<OrchestratorEffects, 'setSpeedLimit'>;
  bestEffort: BestEffortController;
}

/** Sets the speed limits of best-effort tasks. */
export class SpeedLimits {
  constructor(private readonly options: SpeedLimitsOptions) {}

  /** Adjusts the limits on a worker to its latest report. */
  adjust(worker: WorkerState, nowMs: number): void {
    const {bestEffort} = this.options;
    bestEffort.observe(worker, nowMs);
    for (const change of bestEffort.chooseSpeedLimits(worker, nowMs)) {
      const {task, percent} = change;
      this.log(task, worker, percent);
      task.speedLimitPercent = percent;
      task.isUnlimitedRun = false;
      task.lastProgressMs = nowMs;
      this.send(task, worker);
    }
  }

  /** Sends the limit of a task to its worker. */
  send(task: TaskState, worker: WorkerState): void {
    this.options.effects.setSpeedLimit(task, worker);
  }

  private log(task: TaskState, worker: WorkerState, percent: number): void {
    this.options.log.logDetail('pace', {
      task: task.name,
      run: task.run,
      worker: worker.registration.id,
      from: task.speedLimitPercent,
      to: percent,
    });
  }
}
