import {isFinalPhase, JobDefinition, JobPhase} from '../work/job_definition.js';
import {JobHistory} from './job_history.js';
import {TaskState} from './task_state.js';

/** Tasks of one step in one occurrence. */
export interface StepState {
  /** Job, occurrence and number, for example "5c0e7a21d94b36f8.0.1". */
  name: string;
  tasks: TaskState[];
  doneCount: number;
  /** Time in ms at which this owner last saw a task end; else -Infinity. */
  lastDoneMs: number;
}

/** State of one occurrence of a job, in which each step runs once. */
export interface OccurrenceState {
  number: number;
  steps: StepState[];
  isDone: boolean;
}

/** State of a job as tracked by the owner of its partition. */
export class JobState {
  phase: JobPhase = JobPhase.QUEUED;
  /** Estimated duration in ms of the critical path; cached on first use. */
  criticalPathMs: number | undefined;
  /** Latest phase whose storage is confirmed to this owner. */
  storedPhase: JobPhase = JobPhase.QUEUED;
  /** Version of the latest progress record that was written; 0 before. */
  progressVersion = 0;
  readonly history = new JobHistory();
  readonly occurrences = new Map<number, OccurrenceState>();
  /** Number of tasks in state 'waiting', of all occurrences created so far. */
  waitingCount = 0;
  /** Time in ms at which this owner added the job. */
  knownSinceMs = 0;
  /** Time in ms at which the phase became final. */
  finalSinceMs = Infinity;

  /** @param acceptedWallMs - Unix time in ms of the acceptance. */
  constructor(
    readonly definition: JobDefinition,
    readonly acceptedWallMs: number,
  ) {}

  /** Whether the phase is final, so that no task may start. */
  get isFinal(): boolean {
    return isFinalPhase(this.phase);
  }

  /** Whether a run of a task has been seen. */
  get hasStarted(): boolean {
    return this.phase !== JobPhase.QUEUED;
  }

  /** Records that a run of a task was seen; returns whether it is the first. */
  recordStarted(): boolean {
    if (this.hasStarted) return false;
    this.phase = JobPhase.RUNNING;
    return true;
  }

  /** Number of occurrences, at least one. */
  get occurrenceCount(): number {
    return Math.max(1, this.definition.repetitions);
  }

  /** Returns an occurrence, creating it with all tasks waiting. */
  occurrence(number: number): OccurrenceState {
    const known = this.occurrences.get(number);
    if (known) return known;
    const created = this.createOccurrence(number);
    this.occurrences.set(number, created);
    return created;
  }

  /** Creates the occurrences that are due; returns whether any are new. */
  createDueOccurrences(wallMs: number): boolean {
    const {repetitions, firstRunMs, intervalMs} = this.definition;
    let isNew = false;
    for (let number = 0; number < this.occurrenceCount; number++) {
      const dueMs = repetitions > 0 ? firstRunMs + number * intervalMs : 0;
      if (dueMs > wallMs) break;
      if (this.occurrences.has(number)) continue;
      this.occurrence(number);
      isNew = true;
    }
    return isNew;
  }

  /** Returns whether all predecessors of a step are done. */
  isStepReady(occurrence: OccurrenceState, step: number): boolean {
    return this.definition.steps[step]!.after.every((earlier) => {
      const state = occurrence.steps[earlier];
      return state !== undefined && state.doneCount === state.tasks.length;
    });
  }

  /**
   * Returns the time in ms since which a step is idle: no task of it is known to
   * run, or not all of them if they are long-running, since each of these serves
   * users of its own. Undefined if it is not idle, done or not ready.
   */
  idleSinceMs(occurrence: OccurrenceState, number: number): number | undefined {
    const step = occurrence.steps[number]!;
    if (step.doneCount === step.tasks.length) return undefined;
    if (!this.isStepReady(occurrence, number)) return undefined;
    const {after, isLongRunning} = this.definition.steps[number]!;
    const idleMs = isLongRunning ? longestIdleTaskMs(step) : idleStepMs(step);
    if (idleMs === undefined) return undefined;
    const doneMs = after.map(
      (earlier) => occurrence.steps[earlier]!.lastDoneMs,
    );
    return Math.max(idleMs, ...doneMs);
  }

  /**
   * Counts a task as done and updates whether its occurrence is done.
   *
   * @param doneMs - Time in ms; -Infinity if it was done in an earlier term.
   */
  recordTaskDone(task: TaskState, doneMs = -Infinity): void {
    const occurrence = this.occurrence(task.position.occurrence);
    const step = occurrence.steps[task.position.step]!;
    step.doneCount += 1;
    step.lastDoneMs = Math.max(step.lastDoneMs, doneMs);
    occurrence.isDone = occurrence.steps.every(
      ({tasks, doneCount}) => doneCount === tasks.length,
    );
  }

  /** Whether a task waits whose step is ready. */
  get hasReadyTasks(): boolean {
    if (this.waitingCount === 0) return false;
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.isDone) continue;
      for (let step = 0; step < occurrence.steps.length; step++) {
        const {tasks, doneCount} = occurrence.steps[step]!;
        if (doneCount === tasks.length) continue;
        if (!this.isStepReady(occurrence, step)) continue;
        if (tasks.some(({state}) => state === 'waiting')) return true;
      }
    }
    return false;
  }

  /** Whether all occurrences exist and are done. */
  get isComplete(): boolean {
    if (this.occurrences.size < this.occurrenceCount) return false;
    return [...this.occurrences.values()].every(({isDone}) => isDone);
  }

  /** Unix time in ms from which the objective of the job is measured. */
  get dueWallMs(): number {
    const {repetitions, firstRunMs, intervalMs} = this.definition;
    if (repetitions === 0) return this.acceptedWallMs;
    for (const {number, isDone} of this.occurrences.values()) {
      if (!isDone) return firstRunMs + number * intervalMs;
    }
    return firstRunMs;
  }

  /** Iterates over the tasks of all occurrences created so far. */
  *tasks(): Generator<TaskState> {
    for (const {steps} of this.occurrences.values()) {
      for (const {tasks} of steps) yield* tasks;
    }
  }

  private createOccurrence(number: number): OccurrenceState {
    const steps = this.definition.steps.map((step, stepNumber) => ({
      name: `${this.definition.id}.${number}.${stepNumber}`,
      doneCount: 0,
      lastDoneMs: -Infinity,
      tasks: Array.from(
        {length: step.taskCount},
        (_, index) =>
          new TaskState(this, step, {
            occurrence: number,
            step: stepNumber,
            index,
          }),
      ),
    }));
    return {number, steps, isDone: false};
  }
}

/** Returns the time in ms since which a task does not run, the longest such. */
function longestIdleTaskMs({tasks}: StepState): number | undefined {
  let sinceMs: number | undefined;
  for (const {state, lastActiveMs} of tasks) {
    if (state === 'running') continue;
    sinceMs = Math.min(sinceMs ?? Infinity, lastActiveMs);
  }
  return sinceMs;
}

/** Returns the time in ms since which no task of a step runs, if none does. */
function idleStepMs({tasks, lastDoneMs}: StepState): number | undefined {
  let sinceMs = lastDoneMs;
  for (const {state, lastActiveMs} of tasks) {
    if (state === 'running') return undefined;
    sinceMs = Math.max(sinceMs, lastActiveMs);
  }
  return sinceMs;
}
