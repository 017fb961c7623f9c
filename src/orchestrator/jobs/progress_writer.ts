import {StoreWrite} from '../../store/metadata_store.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {encodeChanges, encodeProgress} from '../../work/job_records.js';
import {changesOf, progressOf} from './job_progress.js';
import {JobState} from './job_state.js';
import {TaskState} from '../runs/task_state.js';

/**
 * Number of changed tasks above which the whole record of a job is written.
 * With n tasks in a record and up to c changes beside it, each change writes
 * about c/2 + n/c tasks, which is least at 12 for the usual 40 to 80.
 */
const MAX_CHANGED_TASKS = 12;

/**
 * Decides what to write when the progress of a job has changed: the tasks that
 * changed since its latest record, or a new record. Each time one key is
 * written, so that a change that is stored is never half of one.
 */
export class ProgressWriter {
  private readonly changed = new Set<TaskState>();
  private isRecordDue = true;

  constructor(
    private readonly job: JobState,
    private readonly keys: PartitionKeys,
  ) {}

  /** Notes that a task has changed, and nothing else of the job. */
  addTask(task: TaskState): void {
    this.changed.add(task);
  }

  /** Notes that the job has changed. */
  addJob(): void {
    this.isRecordDue = true;
  }

  /** Returns the write that stores all changes noted so far. */
  createWrite(): StoreWrite {
    const {job, keys, changed} = this;
    const {id} = job.definition;
    if (!this.isRecordDue && changed.size <= MAX_CHANGED_TASKS) {
      const value = encodeChanges(changesOf(job, changed));
      return {key: keys.progressChanges(id), value};
    }
    job.progressVersion += 1;
    this.isRecordDue = false;
    changed.clear();
    return {key: keys.progress(id), value: encodeProgress(progressOf(job))};
  }
}
