import {RunDuration} from '../runs/expected_end.js';
import {JobState, StepState} from '../jobs/job_state.js';
import {QueueTable} from '../jobs/queue_table.js';
import {StepAdvice} from './step_advice.js';
import {PlacementContext} from './task_placement.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link StepContexts}. */
export interface StepContextsOptions {
  workers: ReadonlyMap<string, WorkerState>;
  advice: StepAdvice;
  queues: QueueTable;
  /** Returns how long a run of a task is expected to take. @default not known */
  duration?: RunDuration;
}

/** Context of the placement of one step; the counts change as it proceeds. */
export type StepContext = PlacementContext & {siblings: Map<string, number>};

/** Creates the contexts in which the tasks of steps are placed. */
export class StepContexts {
  constructor(private readonly options: StepContextsOptions) {}

  /** Creates the context of a step at a time in ms. */
  create(job: JobState, step: StepState, nowMs: number): StepContext {
    const {advice, duration} = this.options;
    const context = {
      nowMs,
      expectedMs: duration?.(step.tasks[0]!),
      service: this.serviceOf(job),
      siblings: siblingsOf(step),
    };
    if (!this.needsAdvice(job)) return context;
    const isAllowed = (worker: WorkerState): boolean =>
      advice.ticketFor(step, worker, nowMs) !== undefined;
    return {...context, isAllowed};
  }

  /** Returns whether the advice service restricts the workers of a job. */
  needsAdvice(job: JobState): boolean {
    return this.options.queues.termsOf(job).needsAdvice;
  }

  /** Returns the service whose workers run a job. */
  serviceOf(job: JobState): string {
    return this.options.queues.serviceOf(job);
  }

  /** Returns the rack that a rack-sensitive step already uses, if any. */
  preferredRackOf(step: StepState): string | undefined {
    if (!step.tasks[0]!.step.isRackSensitive) return undefined;
    const placed = step.tasks.find(({isPlaced}) => isPlaced);
    const id = placed?.assignment?.workerId;
    return id === undefined ? undefined : this.options.workers.get(id)?.rack;
  }
}

function siblingsOf(step: StepState): Map<string, number> {
  const siblings = new Map<string, number>();
  for (const {assignment} of step.tasks) {
    if (!assignment) continue;
    const {workerId} = assignment;
    siblings.set(workerId, (siblings.get(workerId) ?? 0) + 1);
  }
  return siblings;
}
