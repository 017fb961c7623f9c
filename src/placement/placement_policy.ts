import {
  CommittedTask,
  Placement,
  PlacementRequest,
  PlacementWorker,
} from './placement_request.js';

/**
 * Chooses workers for tasks. Pure state: the caller reports workers, commits
 * and releases, and no call takes time that grows with the number of workers.
 */
export interface PlacementPolicy {
  /** Name that logs and measurements show. */
  readonly name: string;
  /**
   * Adds a worker or changes its capacity.
   *
   * @throws RangeError if the worker is known in another rack.
   */
  addWorker(worker: PlacementWorker): void;
  /**
   * Removes a worker.
   *
   * @throws RangeError if tasks are still committed on it.
   */
  removeWorker(worker: string): void;
  /** Stops or resumes new work on a worker without touching its tasks. */
  setAccepting(worker: string, isAccepting: boolean): void;
  /**
   * Chooses a worker; commits nothing.
   *
   * @returns The placement, or undefined if no worker can take the task now.
   */
  place(request: PlacementRequest): Placement | undefined;
  /**
   * Tells why no worker can ever hold the task.
   *
   * @returns The reason; undefined if one can, or if no worker is known yet.
   */
  neverFitsReason(request: PlacementRequest): string | undefined;
  /**
   * Commits a task's resources.
   *
   * @throws RangeError if the worker is unknown, the task is already committed,
   *     or the worker would be committed beyond its capacity.
   */
  commit(task: CommittedTask): void;
  /** Releases the resources of a task; no effect if it is not committed. */
  release(taskId: string): void;
  /** Returns the commitment of a task. */
  committed(taskId: string): CommittedTask | undefined;
  /** Changes the work in ms that an eviction of a task would lose. */
  setLostWork(taskId: string, lostWorkMs: number): void;
  /** Free resources over all workers that accept work, for summaries. */
  freeTotals(): {
    processors: number;
    memoryMegabytes: number;
    accelerators: number;
  };
}
