import {KeyChange} from '../leadership/commit_log.js';
import {JobPhase} from '../work/job_definition.js';
import {AdviceRequest} from './advice_port.js';
import {TaskState} from './task_state.js';
import {WorkerState} from './worker_state.js';

/** Orders that the orchestrator gives; outcomes come back as messages. */
export interface OrchestratorEffects {
  /** Starts the task's current run on its worker. */
  start(task: TaskState, worker: WorkerState): void;
  /** Stops the task's current run on its worker. */
  stop(task: TaskState, worker: WorkerState): void;
  /** Stops a run that no task accounts for. */
  stopOrphanRun(run: {task: string; run: number}, worker: WorkerState): void;
  /** Lets a task work at its `pacePercent`. */
  setSpeedLimit(task: TaskState, worker: WorkerState): void;
  /** Asks the advice service; the answer comes back as a message. */
  requestAdvice(request: AdviceRequest): void;
  /** Tells of phases that are stored. */
  publishPhases(phases: ReadonlyArray<[jobId: string, phase: JobPhase]>): void;
  /** Asks for a commit soon. */
  requestCommit(): void;
}

/** Work that has to be stored, and what may happen once it is. */
export interface PendingCommit {
  changes: KeyChange[];
  /** Called once all changes are stored. */
  onStored: () => void;
}
