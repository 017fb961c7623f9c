import {KeyChange} from '../leadership/commit_log.js';
import {JobPhase} from '../work/job_definition.js';
import {AdviceRequest} from './workers/advice_port.js';
import {TaskState} from './runs/task_state.js';
import {WorkerState} from './workers/worker_state.js';

/** Side effects of the orchestrator; outcomes are passed to its handlers. */
export interface OrchestratorEffects {
  /** Starts the current run of a task on its worker. */
  start(task: TaskState, worker: WorkerState): void;
  /** Stops the current run of a task on its worker. */
  stop(task: TaskState, worker: WorkerState): void;
  /** Stops a run that is not the current run of any task. */
  stopOrphanRun(run: {task: string; run: number}, worker: WorkerState): void;
  /** Sends the `speedLimitPercent` of a task to its worker. */
  setSpeedLimit(task: TaskState, worker: WorkerState): void;
  /** Sends a request to the advice service. */
  requestAdvice(request: AdviceRequest): void;
  /** Publishes phases that are stored. */
  publishPhases(phases: ReadonlyArray<[jobId: string, phase: JobPhase]>): void;
  /** Requests a commit of the pending changes. */
  requestCommit(): void;
}

/** Changes of one transaction, and a callback for what depends on them. */
export interface CommitBatch {
  changes: readonly KeyChange[];
  /** To be called once the changes are committed. */
  onStored: () => void;
}

/** Changes to commit in several transactions. */
export interface PendingCommit {
  /** Transactions in the order in which they are to be committed. */
  batches: readonly CommitBatch[];
  /** To be called once all batches are committed. */
  onStored: () => void;
}
