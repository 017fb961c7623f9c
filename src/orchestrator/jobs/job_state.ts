import {
  isFinalPhase,
  JobDefinition,
  JobPhase,
} from '../../work/job_definition.js';
import {countTasks} from '../../work/job_size.js';
import {CheckpointSlot} from '../runs/checkpoint_slot.js';
import {JobHistory} from './job_history.js';
import {StepRunTimes} from '../runs/step_run_times.js';
import {TaskState} from '../runs/task_state.js';

/**
 * Maximum number of tasks that a scheduled job has in occurrences that are not
 * done. Further occurrences that are due are created as these end, so that a
 * schedule that is long overdue does not fill the memory. One occurrence exists
 * however many tasks it has.
 */
export const MAX_OPEN_SCHEDULED_TASKS = 500;

/**
 * Maximum number of occurrences between the first that is not done and the last
 * that exists; each is an entry of the progress record.
 */
const MAX_OCCURRENCE_SPAN = 10_000;

/** Tasks of one step in one occurrence. */
export interface StepState {
  /** Job, occurrence and number, for example "5c0e7a21d94b36f8.0.1". */
  name: string;
  tasks: TaskState[];
  doneCount: number;
  /** Time in ms at which this owner last saw a task end; else -Infinity. */
  lastDoneMs: number;
  /** Durations of runs that this owner has seen. */
  runTimes: StepRunTimes;
  /** Latest run of a gang of which a member has failed; 0 if none has. */
  failedRun: number;
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

  /** Latest phase whose storage is confirmed to this owner. */
  storedPhase: JobPhase = JobPhase.QUEUED;
  /** Version of the latest progress record that was written; 0 before. */
  progressVersion = 0;
  readonly history = new JobHistory();
  /** Occurrences that exist, except for those before {@link doneBefore}. */
  readonly occurrences = new Map<number, OccurrenceState>();
  /** All occurrences of a scheduled job with lower numbers are done. */
  doneBefore = 0;
  private nextOccurrence = 0;
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

  /**
   * Returns an occurrence, creating it with all tasks waiting.
   *
   * @throws Error if it is done and released; its tasks must not run again.
   */
  occurrence(number: number): OccurrenceState {
    const known = this.occurrences.get(number);
    if (known) return known;
    if (number < this.doneBefore) {
      throw new Error(`Cannot create occurrence ${number}: it is done`);
    }
    const created = this.createOccurrence(number);
    this.occurrences.set(number, created);
    return created;
  }

  /**
   * Creates occurrences that are due, as long as not too many tasks are open.
   *
   * @param mayCreate - Returns whether a number of tasks may be created.
   * @returns The new occurrences.
   */
  createDueOccurrences(
    wallMs: number,
    mayCreate: (tasks: number) => boolean = () => true,
  ): OccurrenceState[] {
    const created: OccurrenceState[] = [];
    this.nextOccurrence = Math.max(this.nextOccurrence, this.doneBefore);
    while (this.nextOccurrence < this.occurrenceCount) {
      const number = this.nextOccurrence;
      if (!this.occurrences.has(number)) {
        if (this.dueMsOf(number) > wallMs || !this.hasRoomFor(number)) break;
        if (!mayCreate(countTasks(this.definition))) break;
        created.push(this.occurrence(number));
      }
      this.nextOccurrence += 1;
    }
    return created;
  }

  /**
   * Releases the steps of the occurrences of a scheduled job that are done.
   *
   * @returns The released steps.
   */
  releaseDoneOccurrences(): StepState[] {
    if (this.definition.repetitions === 0) return [];
    const released: StepState[] = [];
    for (const occurrence of this.occurrences.values()) {
      if (!occurrence.isDone || occurrence.steps.length === 0) continue;
      released.push(...occurrence.steps);
      occurrence.steps = [];
    }
    while (this.occurrences.get(this.doneBefore)?.isDone) {
      this.occurrences.delete(this.doneBefore);
      this.doneBefore += 1;
    }
    return released;
  }

  /**
   * Releases the steps of a job that has ended and runs nothing any more.
   *
   * @returns The released steps.
   */
  releaseEnded(): StepState[] {
    const released = [...this.occurrences.values()].flatMap(({steps}) => steps);
    this.occurrences.clear();
    return released;
  }

  /** Restores a stored occurrence that is done. */
  restoreDoneOccurrence(number: number): void {
    this.occurrences.set(number, {number, steps: [], isDone: true});
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
    return after.reduce(
      (sinceMs, earlier) =>
        Math.max(sinceMs, occurrence.steps[earlier]!.lastDoneMs),
      idleMs,
    );
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
    const known = this.doneBefore + this.occurrences.size;
    if (known < this.occurrenceCount) return false;
    return [...this.occurrences.values()].every(({isDone}) => isDone);
  }

  /** Unix time in ms from which the objective of the job is measured. */
  get dueWallMs(): number {
    if (this.definition.repetitions === 0) return this.acceptedWallMs;
    for (const {number, isDone} of this.occurrences.values()) {
      if (!isDone) return this.dueMsOf(number);
    }
    return this.dueMsOf(this.doneBefore);
  }

  /** Iterates over the tasks of all occurrences created so far. */
  *tasks(): Generator<TaskState> {
    for (const {steps} of this.occurrences.values()) {
      for (const {tasks} of steps) yield* tasks;
    }
  }

  /** Unix time in ms at which an occurrence is due; 0 if it always is. */
  private dueMsOf(number: number): number {
    const {repetitions, firstRunMs, intervalMs} = this.definition;
    return repetitions > 0 ? firstRunMs + number * intervalMs : 0;
  }

  /** Returns whether a further occurrence may be created now. */
  private hasRoomFor(number: number): boolean {
    let openOccurrences = 0;
    for (const {isDone} of this.occurrences.values()) {
      if (!isDone) openOccurrences += 1;
    }
    if (openOccurrences === 0) return true;
    if (number - this.doneBefore >= MAX_OCCURRENCE_SPAN) return false;
    const tasks = (openOccurrences + 1) * countTasks(this.definition);
    return tasks <= MAX_OPEN_SCHEDULED_TASKS;
  }

  private createOccurrence(number: number): OccurrenceState {
    const steps = this.definition.steps.map((step, stepNumber) => {
      // The checkpoint of any member of a gang is valid for all of them.
      const shared = step.isGang ? new CheckpointSlot() : undefined;
      const createTask = (index: number): TaskState =>
        new TaskState(
          this,
          step,
          {occurrence: number, step: stepNumber, index},
          shared,
        );
      return {
        name: `${this.definition.id}.${number}.${stepNumber}`,
        doneCount: 0,
        lastDoneMs: -Infinity,
        runTimes: new StepRunTimes(),
        failedRun: 0,
        tasks: Array.from({length: step.taskCount}, (_, index) =>
          createTask(index),
        ),
      };
    });
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
