import {TaskState} from '../runs/task_state.js';
import {WorkerExclusion} from './worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

/** Inputs of a placement decision besides the task. */
export interface PlacementContext {
  nowMs: number;
  /** Service whose workers may run the task. */
  service: string;
  /** Number of placed tasks of the same step by worker id. */
  siblings: ReadonlyMap<string, number>;
  /** Rack that a rack-sensitive step already uses. @default none */
  preferredRack?: string;
  /**
   * Time in ms that a run of the step is expected to take.
   * @default not known: longer than any room is held
   */
  expectedMs?: number;
  /** Returns whether a worker may run the task. @default all workers may */
  isAllowed?: (worker: WorkerState) => boolean;
  /**
   * Whether a best-effort task may take headroom of latency-critical tasks and
   * CPU that others request; it then starts at a reduced speed.
   *
   * @default false
   */
  acceptsInterference?: boolean;
  /**
   * Whether the task may be placed where the isolation of suspects keeps it
   * from, except beside another suspect if it is one itself.
   *
   * @default false
   */
  ignoresIsolation?: boolean;
}

/** Strategy for choosing the worker of a task. */
export interface TaskPlacement {
  /**
   * Returns how well a worker suits a task, or why it cannot accept it now. The
   * highest score is the best.
   */
  evaluate(
    task: TaskState,
    worker: WorkerState,
    context: PlacementContext,
  ): number | WorkerExclusion;
}
