import {JobState, OccurrenceState, StepState} from './job_state.js';
import {
  JobExplanation,
  RunExplanation,
  SearchExplanation,
  StepExplanation,
} from './job_explanation.js';
import {SchedulingTime} from '../placement/scheduling_time.js';
import {StepContexts} from '../placement/step_contexts.js';
import {holdOf, isDue, StepHold} from '../placement/step_hold.js';
import {hasRoomFor} from '../placement/interference_aware_placement.js';
import {TaskPlacement} from '../placement/task_placement.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link JobExplainer}. */
export interface JobExplainerOptions {
  workers: ReadonlyMap<string, WorkerState>;
  placement: TaskPlacement;
  contexts: StepContexts;
  /** Returns whether the scheduler searches changed workers only for a step. */
  isRemembered: (job: JobState, step: StepState) => boolean;
  /** Returns whether no further start of a job may be open now. */
  isAtStartLimit: (job: JobState) => boolean;
}

/** Position of a step in its job. */
export interface StepPosition {
  occurrence: OccurrenceState;
  step: number;
}

/** Maximum number of runs of a step that are listed. */
const LISTED_RUNS = 32;

/**
 * Tells why the tasks of a job run or wait. It asks the same code that decides,
 * and changes nothing.
 */
export class JobExplainer {
  constructor(private readonly options: JobExplainerOptions) {}

  /** Explains a job. */
  explain(job: JobState, {nowMs, wallMs}: SchedulingTime): JobExplanation {
    const {definition} = job;
    const steps: StepExplanation[] = [];
    for (const occurrence of job.occurrences.values()) {
      if (occurrence.isDone) continue;
      occurrence.steps.forEach((_, step) =>
        steps.push(this.explainStep(job, {occurrence, step}, nowMs)),
      );
    }
    return {
      job: definition.id,
      phase: job.phase,
      queue: definition.queue,
      service: this.options.contexts.serviceOf(job),
      ageMs: Math.round(wallMs - job.acceptedWallMs),
      knownMs: Math.round(nowMs - job.knownSinceMs),
      history: job.history.summary(),
      steps,
    };
  }

  /** Explains a step of a job. */
  explainStep(
    job: JobState,
    position: StepPosition,
    nowMs: number,
  ): StepExplanation {
    const {occurrence, step: number} = position;
    const step = occurrence.steps[number]!;
    const hold = this.holdOf(job, position, nowMs);
    const isReady = hold !== StepHold.PREDECESSORS;
    const idleSinceMs = job.idleSinceMs(occurrence, number);
    return {
      step: `${occurrence.number}.${number}`,
      tasks: countStates(step),
      hold,
      idleMs:
        idleSinceMs === undefined ? undefined : Math.round(nowMs - idleSinceMs),
      runs: listRuns(step, nowMs),
      search: isReady ? this.explainSearch(job, step, nowMs) : undefined,
    };
  }

  private holdOf(
    job: JobState,
    position: StepPosition,
    nowMs: number,
  ): StepHold | undefined {
    const hold = holdOf(job, position, nowMs);
    if (hold !== undefined) return hold;
    return this.options.isAtStartLimit(job) ? StepHold.START_LIMIT : undefined;
  }

  /** Evaluates all workers for the first task of a step that waits. */
  private explainSearch(
    job: JobState,
    step: StepState,
    nowMs: number,
  ): SearchExplanation | undefined {
    const {tasks} = step;
    const task =
      tasks.find((candidate) => isDue(candidate, nowMs)) ??
      tasks.find(({state}) => state === 'waiting');
    if (!task) return undefined;
    const {cpuMillicores, memoryMb, acceleratorCount} = task.step;
    return {
      task: task.name,
      cpuMillicores,
      memoryMb,
      acceleratorCount,
      isSuspect: task.isSuspect,
      refusals: task.refusals,
      failures: task.failures,
      ...this.countWorkers(task, step, nowMs),
      isRemembered: this.options.isRemembered(job, step),
    };
  }

  private countWorkers(
    task: TaskState,
    step: StepState,
    nowMs: number,
  ): Pick<SearchExplanation, 'suitable' | 'withRoom' | 'excluded'> {
    const {workers, placement, contexts} = this.options;
    const context = contexts.create(task.job, step, nowMs);
    const counts: Pick<
      SearchExplanation,
      'suitable' | 'withRoom' | 'excluded'
    > = {suitable: 0, withRoom: 0, excluded: {}};
    for (const worker of workers.values()) {
      const result = placement.evaluate(task, worker, context);
      if (typeof result === 'number') counts.suitable += 1;
      else counts.excluded[result] = (counts.excluded[result] ?? 0) + 1;
    }
    counts.withRoom = countWithRoom(task, context.service, workers.values());
    return counts;
  }
}

/**
 * Returns the number of workers of a service that have room for a task, apart
 * from those that drain.
 */
export function countWithRoom(
  {step}: TaskState,
  service: string,
  workers: Iterable<WorkerState>,
): number {
  let count = 0;
  for (const worker of workers) {
    const {registration, isRegistered} = worker;
    if (registration.service !== service || !isRegistered) continue;
    if (!registration.isDraining && hasRoomFor(step, worker)) count += 1;
  }
  return count;
}

function countStates({tasks}: StepState): StepExplanation['tasks'] {
  const counts: StepExplanation['tasks'] = {};
  for (const {state} of tasks) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}

function listRuns({tasks}: StepState, nowMs: number): RunExplanation[] {
  const placed = tasks.filter(({isPlaced}) => isPlaced).slice(0, LISTED_RUNS);
  return placed.map(({name, run, state, assignment, assignedMs}) => ({
    task: name,
    run,
    state,
    worker: assignment!.workerId,
    assignedMs: Number.isFinite(assignedMs)
      ? Math.round(nowMs - assignedMs)
      : undefined,
  }));
}
