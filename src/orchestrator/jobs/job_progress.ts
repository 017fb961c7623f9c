import {
  OccurrenceRecord,
  ProgressChanges,
  ProgressRecord,
  TaskCrashRecord,
  TaskRecord,
} from '../../work/job_records.js';
import {toCrashCounts} from '../../work/stored_crash_counts.js';
import {JobState, OccurrenceState} from './job_state.js';
import {TaskState} from '../runs/task_state.js';

/** Returns the record to store for a job, under its present version. */
export function progressOf(job: JobState): ProgressRecord {
  const {progressVersion: version, phase, doneBefore} = job;
  if (job.isFinal) return {version, phase, occurrences: []};
  const occurrences = [...job.occurrences.values()].map(occurrenceRecord);
  return {version, phase, doneBefore, occurrences};
}

/** Returns what to store of tasks that changed since the latest record. */
export function changesOf(
  job: JobState,
  tasks: Iterable<TaskState>,
): ProgressChanges {
  const changes = [...tasks].map((task) => {
    const {occurrence, step} = task.position;
    return {occurrence, step, task: taskRecord(task)};
  });
  return {version: job.progressVersion, tasks: changes};
}

/**
 * Restores the stored state of a newly created job.
 *
 * @throws Error if the record has an occurrence that the job does not have.
 */
export function restoreProgress(job: JobState, record: ProgressRecord): void {
  job.progressVersion = record.version;
  job.phase = record.phase;
  job.doneBefore = record.doneBefore ?? 0;
  for (const stored of record.occurrences) {
    checkOccurrence(job, stored.number);
    if (!stored.isDone) {
      restoreOccurrence(job, job.occurrence(stored.number), stored);
    } else if (job.definition.repetitions > 0) {
      job.restoreDoneOccurrence(stored.number);
    } else {
      finishOccurrence(job, job.occurrence(stored.number));
    }
  }
}

function checkOccurrence({occurrenceCount}: JobState, number: number): void {
  if (Number.isInteger(number) && number >= 0 && number < occurrenceCount) {
    return;
  }
  throw new Error(
    `Cannot restore occurrence ${number}: the job has ${occurrenceCount}`,
  );
}

function occurrenceRecord(occurrence: OccurrenceState): OccurrenceRecord {
  const {number, isDone} = occurrence;
  if (isDone) return {number, isDone, steps: []};
  const steps = occurrence.steps.map(({tasks}) =>
    tasks.filter(({run}) => run > 0).map(taskRecord),
  );
  return {number, isDone, steps};
}

function taskRecord(task: TaskState): TaskRecord {
  return {
    index: task.position.index,
    run: task.run,
    failures: task.failures,
    isDone: task.state === 'done',
    workerId: task.assignment?.workerId,
    workerBornMs: task.assignment?.workerBornMs,
    checkpoint: task.checkpoint || undefined,
    workerAddress: task.assignment?.workerAddress,
    crashes: crashRecord(task),
    hasBegun: task.isPlaced && task.hasBegun,
  };
}

/** Returns the crash record of a task; undefined if there is nothing to keep. */
function crashRecord(task: TaskState): TaskCrashRecord | undefined {
  const {crashes, losses} = task;
  if (crashes.isEmpty && losses.length === 0) return undefined;
  return {counts: crashes.toRecord(), losses: [...losses]};
}

function finishOccurrence(job: JobState, occurrence: OccurrenceState): void {
  for (const {tasks} of occurrence.steps) {
    for (const task of tasks) {
      task.apply('done');
      job.recordTaskDone(task);
    }
  }
}

function restoreOccurrence(
  job: JobState,
  occurrence: OccurrenceState,
  stored: OccurrenceRecord,
): void {
  stored.steps.forEach((rows, step) => {
    for (const row of rows) {
      const state = occurrence.steps[step];
      const task = state?.tasks[row.index];
      if (!state || !task) continue;
      restoreTask(job, task, row);
      // Its latest run has ended, and may be the one that failed: another member
      // of its gang may still report the same failed run.
      const hasEnded = row.workerId === undefined;
      if (row.failures > 0 && hasEnded) {
        state.failedRun = Math.max(state.failedRun, row.run);
      }
    }
  });
}

function restoreTask(job: JobState, task: TaskState, row: TaskRecord): void {
  task.run = row.run;
  task.failures = row.failures;
  // Members of a gang share one checkpoint, which not all of them have stored.
  if (row.checkpoint) task.checkpoint = row.checkpoint;
  if (row.crashes) {
    task.crashes.restore(toCrashCounts(row.crashes.counts));
    task.storedLosses.push(...row.crashes.losses);
  }
  if (row.isDone) {
    task.apply('done');
    job.recordTaskDone(task);
    return;
  }
  if (row.workerId === undefined) return;
  task.apply('inherited');
  task.isSpeedKnown = false;
  task.hasBegun = row.hasBegun ?? false;
  task.assignment = {
    workerId: row.workerId,
    workerBornMs: row.workerBornMs ?? 0,
    workerAddress: row.workerAddress,
  };
  // The first poll with the new fencing token is conclusive, because the worker
  // rejects commands of earlier owners from then on.
  task.absentAfterMs = -Infinity;
}
