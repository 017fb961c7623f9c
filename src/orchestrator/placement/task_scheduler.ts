import {StepDefinition} from '../../work/job_definition.js';
import {CandidateSet} from './candidate_set.js';
import {RunDuration} from '../runs/expected_end.js';
import {FullPasses} from './full_passes.js';
import {HeldRooms} from './held_rooms.js';
import {JobOrder} from '../jobs/job_order.js';
import {JobState, OccurrenceState, StepState} from '../jobs/job_state.js';
import {QueueTable} from '../jobs/queue_table.js';
import {StepOrigin, UnplaceableSteps} from './unplaceable_steps.js';
import {SchedulingTime} from './scheduling_time.js';
import {StarvedSteps} from './starved_steps.js';
import {StepAssigner} from './step_assigner.js';
import {StepAdvice} from './step_advice.js';
import {StepContext, StepContexts} from './step_contexts.js';
import {holdOf, isDue} from './step_hold.js';
import {PlacementContext, TaskPlacement} from './task_placement.js';
import {endIsolation} from '../suspicion/suspect_isolation.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerChanges} from '../workers/worker_changes.js';
import {WorkerExclusion} from './worker_exclusion.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link TaskScheduler}. */
export interface TaskSchedulerOptions {
  workers: ReadonlyMap<string, WorkerState>;
  order: JobOrder;
  placement: TaskPlacement;
  advice: StepAdvice;
  queues: QueueTable;
  /** Returns how many tasks of a job may be assigned now. @default any */
  countFreeStarts?: (job: JobState) => number;
  /**
   * Returns whether a job is looked at in each pass, however many wait.
   * @default all are
   */
  isUrgent?: (job: JobState) => boolean;
  /**
   * Returns whether the process is behind with its events. A move costs it a
   * stop and a start for work that goes on anyway. @default never
   */
  isBehind?: () => boolean;
  /**
   * Returns how long a run of a task is expected to take; room is then held for
   * tasks that are too large for the gaps. @default no room is held
   */
  duration?: RunDuration;
  /** Called to assign a run of a task to a worker. */
  onAssign: (task: TaskState, worker: WorkerState, run: number) => void;
  /** Called to revert an assignment made in the same pass. */
  onWithdraw: (task: TaskState) => void;
  /** Called to stop a task so that it continues on another worker. */
  onMove: (task: TaskState) => void;
  /** Called when the tasks of a job cannot be scheduled in a pass. */
  onJobError: (job: JobState, error: Error) => void;
}

/** Minimum time in ms between two searches for tasks to move. */
const MOVE_CHECK_MS = 150;

/** Minimum time in ms between two searches for a worker to move a task to. */
const MOVE_RETRY_MS = 600;

/** Minimum time in ms between two moves of one task. */
const MOVE_INTERVAL_MS = 2000;

/**
 * Progress in percent from which tasks without checkpoints are not moved,
 * because a move loses it.
 */
const MAX_LOST_PERCENT = 30;

/** Minimum time in ms between two searches for starved best-effort steps. */
const STARVED_CHECK_MS = 150;

/** Assigns the waiting tasks of ready steps to workers. */
export class TaskScheduler {
  private readonly changes = new WorkerChanges();
  private readonly unplaceable = new UnplaceableSteps();
  private readonly contexts: StepContexts;
  private readonly starved: StarvedSteps;
  private readonly fullPasses: FullPasses;
  private readonly heldRooms: HeldRooms | undefined;
  private lastMoveCheckMs = -Infinity;
  private lastStarvedCheckMs = -Infinity;

  constructor(private readonly options: TaskSchedulerOptions) {
    this.contexts = new StepContexts(options);
    this.fullPasses = new FullPasses(options.isUrgent !== undefined);
    const {workers, duration} = options;
    this.heldRooms = duration && new HeldRooms({workers, duration});
    this.starved = new StarvedSteps({workers, contexts: this.contexts});
  }

  /**
   * Runs one pass: assigns waiting tasks and moves throttled tasks. While many
   * jobs wait, most passes look at urgent jobs only.
   */
  schedule(jobs: Iterable<JobState>, {nowMs, wallMs}: SchedulingTime): void {
    const {order, queues, isUrgent} = this.options;
    const isFull = this.fullPasses.isDue(nowMs);
    const waiting = [...jobs].filter(
      (job) => (isFull || isUrgent?.(job)) && !job.isFinal && job.hasReadyTasks,
    );
    if (isFull) this.fullPasses.record(waiting.length, nowMs);
    this.heldRooms?.beginPass(nowMs);
    this.changes.beginPass(this.options.workers.values());
    this.unplaceable.beginPass({pass: this.changes.currentPass, nowMs});
    const sorted = order.sort(waiting, {
      wallMs,
      termsOf: (job) => queues.termsOf(job),
    });
    for (const job of sorted) {
      try {
        this.scheduleJob(job, nowMs);
      } catch (error) {
        // One job must not keep all others from being scheduled.
        this.options.onJobError(job, error as Error);
      }
    }
    if (!isFull) return;
    this.assignStarved(sorted, nowMs);
    if (this.options.isBehind?.()) return;
    if (nowMs - this.lastMoveCheckMs < MOVE_CHECK_MS) return;
    this.lastMoveCheckMs = nowMs;
    this.moveThrottled(nowMs);
  }

  /**
   * Returns whether no worker was found for a step like this one, so that only
   * workers that change are evaluated for it until the next full search.
   */
  isRemembered(job: JobState, step: StepState): boolean {
    const {step: definition} = step.tasks[0]!;
    const origin = this.originOf(job, step);
    return (
      this.unplaceable.includes(definition, origin) ||
      this.unplaceable.failedPassOf(definition, origin) !== undefined
    );
  }

  private originOf(job: JobState, step: StepState): Required<StepOrigin> {
    return {
      service: this.contexts.serviceOf(job),
      stepName: step.name,
      needsAdvice: this.contexts.needsAdvice(job),
    };
  }

  private scheduleJob(job: JobState, nowMs: number): void {
    if (this.isAtStartLimit(job)) return;
    for (const occurrence of job.occurrences.values()) {
      if (!occurrence.isDone) this.scheduleSteps(job, occurrence, nowMs);
    }
  }

  /** Returns whether no further start of a job may be open now. */
  isAtStartLimit(job: JobState): boolean {
    return this.countFreeStarts(job) === 0;
  }

  private countFreeStarts(job: JobState): number {
    return this.options.countFreeStarts?.(job) ?? Infinity;
  }

  private scheduleSteps(
    job: JobState,
    occurrence: OccurrenceState,
    nowMs: number,
  ): void {
    occurrence.steps.forEach((step, number) => {
      if (holdOf(job, {occurrence, step: number}, nowMs)) return;
      if (step.tasks[0]!.step.isGang) {
        const context = this.contexts.create(job, step, nowMs);
        this.assignGang(job, step, context);
        return;
      }
      this.assignTasks(job, step, nowMs);
    });
  }

  private assignTasks(job: JobState, step: StepState, nowMs: number): void {
    const {unplaceable} = this;
    const {step: definition} = step.tasks[0]!;
    const origin = this.originOf(job, step);
    if (unplaceable.includes(definition, origin)) return;
    const context = this.contexts.create(job, step, nowMs);
    const workers = this.workersWorthSearching(definition, origin);
    const assigner = new StepAssigner(this.options, context, workers);
    const due = step.tasks.filter((task) => isDue(task, nowMs));
    const freeStarts = this.countFreeStarts(job);
    let unplaced: TaskState | undefined;
    for (const task of suspectsLast(due).slice(0, freeStarts)) {
      const preferredRack = this.contexts.preferredRackOf(step);
      if (assigner.assign(task, task.run + 1, preferredRack)) continue;
      unplaced = task;
      // A suspect is placed on fewer workers than other tasks of its step.
      this.endIsolation(task, context);
      if (task.isSuspect) continue;
      this.holdRoom(task, context);
      unplaceable.add(definition, origin);
      break;
    }
    if (unplaced && origin.needsAdvice) this.requestAdvice(unplaced, context);
  }

  /** Holds room for a task where nothing but its request keeps it out. */
  private holdRoom(task: TaskState, context: PlacementContext): void {
    const {placement} = this.options;
    this.heldRooms?.hold(
      task,
      (worker) => lacksRoomOnly(placement.evaluate(task, worker, context)),
      context.nowMs,
    );
  }

  private endIsolation(task: TaskState, context: PlacementContext): void {
    const {placement} = this.options;
    const workers = [...this.options.workers.values()];
    const isIsolated = (worker: WorkerState): boolean =>
      worker.suspects.size > 0 || worker.isReserved(context.nowMs);
    if (!task.isSuspect && !workers.some(isIsolated)) return;
    endIsolation(task, {workers, placement, context});
  }

  /** Returns the workers that may have capacity for a step. */
  private workersWorthSearching(
    step: StepDefinition,
    origin: StepOrigin,
  ): readonly WorkerState[] {
    const failedPass = this.unplaceable.failedPassOf(step, origin);
    const changed =
      failedPass === undefined
        ? undefined
        : this.changes.changedAfter(failedPass);
    return changed ?? [...this.options.workers.values()];
  }

  private assignGang(
    job: JobState,
    step: StepState,
    context: StepContext,
  ): void {
    const {workers, onWithdraw} = this.options;
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const assigner = new StepAssigner(this.options, context, [
      ...workers.values(),
    ]);
    const placed: TaskState[] = [];
    for (const task of step.tasks) {
      const preferredRack = this.contexts.preferredRackOf(step);
      if (!assigner.assign(task, run, preferredRack)) {
        for (const member of placed) onWithdraw(member);
        if (this.contexts.needsAdvice(job)) this.requestAdvice(task, context);
        return;
      }
      placed.push(task);
    }
  }

  /** Assigns a task of each best-effort step that has waited too long. */
  private assignStarved(jobs: readonly JobState[], nowMs: number): void {
    if (nowMs - this.lastStarvedCheckMs < STARVED_CHECK_MS) return;
    this.lastStarvedCheckMs = nowMs;
    for (const {job, step} of this.starved.find(jobs, nowMs)) {
      const context = {
        ...this.contexts.create(job, step, nowMs),
        acceptsInterference: true,
      };
      if (step.tasks[0]!.step.isGang) this.assignGang(job, step, context);
      else this.assignOne(job, step, context);
    }
  }

  private assignOne(
    job: JobState,
    step: StepState,
    context: StepContext,
  ): void {
    const task = step.tasks.find((waiting) => isDue(waiting, context.nowMs))!;
    const workers = [...this.options.workers.values()];
    const assigner = new StepAssigner(this.options, context, workers);
    const preferredRack = this.contexts.preferredRackOf(step);
    if (assigner.assign(task, task.run + 1, preferredRack)) return;
    if (this.contexts.needsAdvice(job)) this.requestAdvice(task, context);
  }

  /**
   * Stops best-effort tasks that are throttled if another worker can run them
   * at full speed. Tasks with checkpoints keep their progress; other tasks are
   * moved only while they have little progress to lose.
   */
  private moveThrottled(nowMs: number): void {
    const {workers, onMove} = this.options;
    const targets = new Set<WorkerState>();
    for (const worker of workers.values()) {
      for (const task of worker.tasks) {
        if (!isMovable(task, nowMs)) continue;
        task.lastMoveCheckMs = nowMs;
        const target = this.findBetterWorker(task, nowMs);
        if (!target || target === worker || targets.has(target)) continue;
        targets.add(target);
        task.lastMovedMs = nowMs;
        onMove(task);
      }
    }
  }

  private findBetterWorker(
    task: TaskState,
    nowMs: number,
  ): WorkerState | undefined {
    const {workers, placement} = this.options;
    const context = this.contexts.create(task.job, stepOf(task), nowMs);
    return new CandidateSet({
      task,
      workers: workers.values(),
      placement,
      context,
    }).best();
  }

  /** Requests advice about the workers that have capacity for a task. */
  private requestAdvice(task: TaskState, context: PlacementContext): void {
    const {advice, placement, workers} = this.options;
    const anyWorker = {...context, isAllowed: undefined};
    const suitable = [...workers.values()].filter(
      (worker) =>
        typeof placement.evaluate(task, worker, anyWorker) === 'number',
    );
    advice.enqueue(stepOf(task), suitable);
  }
}

/** Returns the state of the step that a task belongs to. */
export function stepOf(task: TaskState): StepState {
  const {occurrence, step} = task.position;
  return task.job.occurrence(occurrence).steps[step]!;
}

/** Whether only a lack of room keeps a task from a worker. */
function lacksRoomOnly(evaluation: number | WorkerExclusion): boolean {
  return (
    evaluation === WorkerExclusion.CPU ||
    evaluation === WorkerExclusion.MEMORY ||
    evaluation === WorkerExclusion.ACCELERATORS
  );
}

/** Returns tasks with those that may crash their worker at the end. */
function suspectsLast(tasks: readonly TaskState[]): TaskState[] {
  return [
    ...tasks.filter(({isSuspect}) => !isSuspect),
    ...tasks.filter(({isSuspect}) => isSuspect),
  ];
}

function isMovable(task: TaskState, nowMs: number): boolean {
  const {step} = task;
  if (task.state !== 'running' || task.speedLimitPercent >= 100) return false;
  if (!step.usesLeftoverCpu || step.isGang || step.isLongRunning) return false;
  if (nowMs - task.lastMovedMs < MOVE_INTERVAL_MS) return false;
  if (nowMs - task.lastMoveCheckMs < MOVE_RETRY_MS) return false;
  return step.isCheckpointed || task.percent < MAX_LOST_PERCENT;
}
