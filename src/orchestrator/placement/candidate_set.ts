import {PlacementContext, TaskPlacement} from './task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link CandidateSet}. */
export interface CandidateSetOptions {
  /** Task to place; represents all tasks for which the scores are the same. */
  task: TaskState;
  workers: Iterable<WorkerState>;
  placement: TaskPlacement;
  context: PlacementContext;
}

/**
 * Workers that can run a task, with their scores. Placing several tasks of a
 * step evaluates each worker once, and again only after it has received one.
 */
export class CandidateSet {
  private readonly workers: WorkerState[] = [];
  private readonly scores: number[] = [];

  constructor(private readonly options: CandidateSetOptions) {
    const {task, workers, placement, context} = options;
    for (const worker of workers) {
      const score = placement.evaluate(task, worker, context);
      if (typeof score !== 'number') continue;
      this.workers.push(worker);
      this.scores.push(score);
    }
  }

  /** Returns the worker with the highest score, the first among equals. */
  best(): WorkerState | undefined {
    const position = this.bestPosition();
    return position === undefined ? undefined : this.workers[position];
  }

  /** Evaluates a worker again, after its tasks have changed. */
  update(worker: WorkerState): void {
    const {task, placement, context} = this.options;
    const position = this.workers.indexOf(worker);
    if (position < 0) return;
    const score = placement.evaluate(task, worker, context);
    this.scores[position] = typeof score === 'number' ? score : -Infinity;
  }

  private bestPosition(): number | undefined {
    let best: number | undefined;
    let bestScore = -Infinity;
    for (let position = 0; position < this.scores.length; position++) {
      const score = this.scores[position]!;
      if (score <= bestScore) continue;
      best = position;
      bestScore = score;
    }
    return best;
  }
}
