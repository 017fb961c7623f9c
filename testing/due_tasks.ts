import {JobDefinition} from '../src/work/job_definition.js';
import {formatTaskName} from '../src/work/task_name.js';
import {SampledTask} from './idle_capacity_check.js';

/** What is known of the jobs of {@link dueTasks}. */
export interface JobProgress {
  /** Unix time in ms. */
  wallMs: number;
  /** Returns whether the success of a task was acknowledged. */
  isDone: (task: string) => boolean;
}

/**
 * Returns the tasks of a job whose turn has come and that have not succeeded:
 * their occurrence is due and all earlier steps are done.
 */
export function dueTasks(
  job: JobDefinition,
  {wallMs, isDone}: JobProgress,
): SampledTask[] {
  const due: SampledTask[] = [];
  const occurrences = Math.max(1, job.repetitions);
  for (let occurrence = 0; occurrence < occurrences; occurrence++) {
    const dueMs = job.firstRunMs + occurrence * job.intervalMs;
    if (job.repetitions > 0 && dueMs > wallMs) break;
    const names = job.steps.map(({taskCount}, step) =>
      Array.from({length: taskCount}, (_, index) =>
        formatTaskName({jobId: job.id, occurrence, step, index}),
      ),
    );
    // The success of one member stands for the whole gang.
    const isStepDone = (step: number): boolean =>
      job.steps[step]!.isGang
        ? names[step]!.some(isDone)
        : names[step]!.every(isDone);
    job.steps.forEach((step, number) => {
      if (!step.after.every(isStepDone) || isStepDone(number)) return;
      const waiting = names[number]!.filter((name) => !isDone(name));
      due.push(...waiting.map((name) => ({name, step})));
    });
  }
  return due;
}
