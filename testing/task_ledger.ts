/** Violations of the guarantees about tasks, counted by the workers. */
export interface TaskViolations {
  /** Starts that exceeded the capacity of the worker. */
  overCapacity: number;
  /** Starts of a task that was already running. */
  twoPlaces: number;
  /** Starts of a task that had already finished. */
  ranAgain: number;
  /** Starts from a checkpoint other than the latest one. */
  lostProgress: number;
}

/**
 * Records every start and end of a task on all worker stand-ins, so that
 * violations are detected independently of the system under test.
 */
export class TaskLedger {
  /** Violations counted so far. */
  readonly violations: TaskViolations = {
    overCapacity: 0,
    twoPlaces: 0,
    ranAgain: 0,
    lostProgress: 0,
  };
  /** Description of each violation. */
  readonly details: string[] = [];
  /** Number of starts. */
  starts = 0;
  /** Tasks that have finished. */
  readonly finished = new Set<string>();
  /** Worker that runs a task now. */
  private readonly workersByTask = new Map<string, string>();
  /** Latest checkpoint of each task that was stopped. */
  private readonly checkpoints = new Map<string, string>();

  /** Records the start of a task, which resumes from `checkpoint` if given. */
  started(taskId: string, worker: string, checkpoint?: string): void {
    this.starts += 1;
    const currentWorker = this.workersByTask.get(taskId);
    if (currentWorker !== undefined) {
      this.violations.twoPlaces += 1;
      this.details.push(
        `${taskId} started on ${worker} while running on ${currentWorker}`,
      );
    }
    if (this.finished.has(taskId)) {
      this.violations.ranAgain += 1;
      this.details.push(`${taskId} started on ${worker} after it had finished`);
    }
    const latest = this.checkpoints.get(taskId);
    if (latest !== undefined && latest !== checkpoint) {
      this.violations.lostProgress += 1;
      this.details.push(
        `${taskId} resumed from checkpoint ${checkpoint ?? 'nothing'} instead of the latest, ${latest}`,
      );
    }
    this.workersByTask.set(taskId, worker);
  }

  /** Records the end of a run; `hasFinished` if the task is complete. */
  ended(taskId: string, hasFinished: boolean): void {
    this.workersByTask.delete(taskId);
    if (hasFinished) this.finished.add(taskId);
  }

  /** Records the checkpoint with which an evicted task was stopped. */
  checkpointed(taskId: string, checkpoint: string): void {
    this.checkpoints.set(taskId, checkpoint);
  }

  /** Records a start that exceeded the capacity of a worker. */
  overCommitted(worker: string, detail: string): void {
    this.violations.overCapacity += 1;
    this.details.push(`${worker} over capacity: ${detail}`);
  }

  /** Returns the number of violations of all kinds. */
  totalViolations(): number {
    const counts = Object.values(this.violations) as number[];
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Returns the number of running tasks. */
  runningCount(): number {
    return this.workersByTask.size;
  }
}
