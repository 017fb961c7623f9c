/** Breaches of the promises about tasks, counted on the workers' side. */
export interface TaskViolations {
  /** Starts that committed a worker beyond its capacity. */
  overCapacity: number;
  /** Starts of a task that was running on another worker. */
  twoPlaces: number;
  /** Starts of a task that had finished before. */
  ranAgain: number;
  /** Resumptions from a checkpoint that is not the latest one. */
  lostProgress: number;
}

/**
 * Sees every start and end of all worker stand-ins, so that breaches are
 * counted outside of the system under test.
 */
export class TaskLedger {
  readonly violations: TaskViolations = {
    overCapacity: 0,
    twoPlaces: 0,
    ranAgain: 0,
    lostProgress: 0,
  };
  readonly details: string[] = [];
  starts = 0;
  readonly finished = new Set<string>();
  private readonly workersByTask = new Map<string, string>();
  private readonly checkpoints = new Map<string, string>();

  /** Records a start; `checkpoint` is what the task resumes from. */
  started(taskId: string, worker: string, checkpoint?: string): void {
    this.starts += 1;
    const currentWorker = this.workersByTask.get(taskId);
    if (currentWorker !== undefined) {
      this.violations.twoPlaces += 1;
      this.details.push(
        `${taskId} started on ${worker}, runs on ${currentWorker}`,
      );
    }
    if (this.finished.has(taskId)) {
      this.violations.ranAgain += 1;
      this.details.push(`${taskId} started on ${worker} after it finished`);
    }
    const latest = this.checkpoints.get(taskId);
    if (latest !== undefined && latest !== checkpoint) {
      this.violations.lostProgress += 1;
      this.details.push(
        `${taskId} resumed from ${checkpoint ?? 'nothing'}, latest is ${latest}`,
      );
    }
    this.workersByTask.set(taskId, worker);
  }

  /** Records that a task no longer runs. */
  ended(taskId: string, hasFinished: boolean): void {
    this.workersByTask.delete(taskId);
    if (hasFinished) this.finished.add(taskId);
  }

  /** Records the latest checkpoint of a task that an eviction stopped. */
  checkpointed(taskId: string, checkpoint: string): void {
    this.checkpoints.set(taskId, checkpoint);
  }

  /** Records that a start committed more than the worker has. */
  overCommitted(worker: string, detail: string): void {
    this.violations.overCapacity += 1;
    this.details.push(`${worker} over capacity: ${detail}`);
  }

  /** Number of breaches of any kind. */
  totalViolations(): number {
    const counts = Object.values(this.violations) as number[];
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Number of tasks that run now. */
  runningCount(): number {
    return this.workersByTask.size;
  }
}
