import {JobState, StepState} from '../jobs/job_state.js';
import {TaskState} from './task_state.js';

/** Options of {@link HeldTasks}. */
export interface HeldTasksOptions {
  /** Returns whether a job is of one of the most urgent queues. */
  isUrgent: (job: JobState) => boolean;
  /** Called once with each task that was created or restored. */
  onAdded: (task: TaskState) => void;
  /** Called with each step whose tasks are released. */
  onReleased: (step: StepState) => void;
}

/**
 * Maximum number of tasks in memory, at about 1 KB each. Jobs beyond it wait
 * without tasks until others have ended.
 */
const MAX_HELD_TASKS = 60_000;

/** Further tasks that only jobs of the most urgent queues may have. */
const URGENT_HELD_TASKS = 15_000;

/**
 * Tasks that an owner holds in memory, by name. Creates those of occurrences
 * that are due and releases those that cannot start any more.
 */
export class HeldTasks {
  private readonly byName = new Map<string, TaskState>();
  /** Jobs that have ended and still have tasks in memory. */
  private readonly endedJobs = new Set<JobState>();

  constructor(private readonly options: HeldTasksOptions) {}

  /** Returns a task; undefined if it is not in memory. */
  get(name: string): TaskState | undefined {
    return this.byName.get(name);
  }

  /** Adds the tasks of a job, restored ones and those that are due. */
  addJob(job: JobState, wallMs: number): void {
    if (!job.isFinal) this.createDue(job, wallMs);
    this.addAll(job.tasks());
  }

  /** Records that a job has ended. */
  recordEnded(job: JobState): void {
    this.endedJobs.add(job);
  }

  /** Creates tasks that are due and releases those of what is done or ended. */
  update(openJobs: Iterable<JobState>, wallMs: number): void {
    for (const job of openJobs) {
      for (const step of job.releaseDoneOccurrences()) this.release(step);
      for (const {steps} of this.createDue(job, wallMs)) {
        for (const {tasks} of steps) this.addAll(tasks);
      }
    }
    for (const job of this.endedJobs) {
      if (!isAnyPlaced(job)) this.releaseJob(job);
    }
  }

  /** Releases all tasks of a job that has ended. */
  releaseJob(job: JobState): void {
    this.endedJobs.delete(job);
    for (const step of job.releaseEnded()) this.release(step);
  }

  private createDue(
    job: JobState,
    wallMs: number,
  ): ReturnType<JobState['createDueOccurrences']> {
    return job.createDueOccurrences(wallMs, (tasks) => {
      const held = this.byName.size;
      const extra = this.options.isUrgent(job) ? URGENT_HELD_TASKS : 0;
      return held === 0 || held + tasks <= MAX_HELD_TASKS + extra;
    });
  }

  private addAll(tasks: Iterable<TaskState>): void {
    for (const task of tasks) {
      this.byName.set(task.name, task);
      this.options.onAdded(task);
    }
  }

  private release(step: StepState): void {
    for (const {name} of step.tasks) this.byName.delete(name);
    this.options.onReleased(step);
  }
}

/** Whether a run of a job is or may be active on a worker. */
export function isAnyPlaced(job: JobState): boolean {
  for (const task of job.tasks()) if (task.isPlaced) return true;
  return false;
}
