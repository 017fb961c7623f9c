import {
  CommittedTask,
  Placement,
  PlacementRequest,
  PlacementWorker,
} from './placement_request.js';

/**
 * Chooses workers for tasks. A policy performs no I/O: the caller reports
 * workers, commitments and releases. The time of a call does not grow with the
 * number of workers.
 */
export interface PlacementPolicy {
  /** Name of the policy in logs and measurements. */
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
  /**
   * Stops or resumes new placements on a worker; its tasks are not affected.
   */
  setAccepting(worker: string, isAccepting: boolean): void;
  /**
   * Chooses a worker for a task without committing its resources.
   *
   * @returns The placement, or undefined if no worker can accept the task now.
   */
  place(request: PlacementRequest): Placement | undefined;
  /**
   * Returns why no worker can ever run the task.
   *
   * @returns The reason; undefined if a worker can run it, or if no worker is
   *     known yet.
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
  /** Returns the commitment of a task, if it is committed. */
  committed(taskId: string): CommittedTask | undefined;
  /** Sets the work in ms that an eviction of a task would lose. */
  setLostWork(taskId: string, lostWorkMs: number): void;
  /** Returns the total free resources of all workers that accept work. */
  freeTotals(): {
    processors: number;
    memoryMegabytes: number;
    accelerators: number;
  };
}
