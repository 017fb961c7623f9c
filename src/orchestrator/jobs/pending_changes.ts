import {
  KeyChange,
  MAX_CHANGES_PER_COMMIT,
} from '../../leadership/commit_log.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {MAX_VALUE_BYTES, StoreWrite} from '../../store/metadata_store.js';
import {JobPhase} from '../../work/job_definition.js';
import {JobState} from './job_state.js';
import {CommitBatch, PendingCommit} from '../orchestrator_effects.js';
import {ProgressWriter} from './progress_writer.js';
import {QueueTable} from './queue_table.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link PendingChanges}. */
export interface PendingChangesOptions {
  keys: PartitionKeys;
  queues: QueueTable;
  /** Called with each start whose assignment is committed. */
  onStart: (task: TaskState) => void;
  /** Called with the phases that are committed and have changed. */
  onPhases: (phases: ReadonlyArray<[jobId: string, phase: JobPhase]>) => void;
  /** Called to end a job whose progress does not fit a value of the store. */
  onRecordTooLarge: (job: JobState) => void;
}

/** Number of records of a job. */
const RECORDS_PER_JOB = 4;

/**
 * Maximum deletions in a transaction: all records of a job are deleted in one,
 * since a submission without its progress would look like a new job.
 */
const MAX_DELETIONS_PER_COMMIT =
  MAX_CHANGES_PER_COMMIT - (MAX_CHANGES_PER_COMMIT % RECORDS_PER_JOB);

/** Commit order of jobs without a start that depends on the commit. */
const NO_START_RANK = 2_000_000;

/** Changes of jobs that are not committed yet, and the starts that wait. */
export class PendingChanges {
  private readonly jobs = new Set<JobState>();
  private readonly writers = new Map<JobState, ProgressWriter>();
  private readonly starts: TaskState[] = [];
  private readonly deletions: KeyChange[] = [];
  /** Workers that reported ends since the latest {@link take}. */
  private readonly workers = new Set<WorkerState>();

  constructor(private readonly options: PendingChangesOptions) {}

  /** Whether there are changes to commit, or ends that wait for a commit. */
  get hasPending(): boolean {
    const changes = this.jobs.size + this.deletions.length;
    return changes > 0 || this.workers.size > 0;
  }

  /** Adds a job whose progress has changed. */
  addJob(job: JobState): void {
    this.jobs.add(job);
    this.writerOf(job).addJob();
  }

  /**
   * Adds a task that has changed, while nothing else of its job has. Nothing is
   * stored of the tasks of a job that has ended.
   */
  addTask(task: TaskState): void {
    if (task.job.isFinal) return;
    this.jobs.add(task.job);
    this.writerOf(task.job).addTask(task);
  }

  /**
   * Notes that a task has changed in a way that is stored with the next change
   * of its job, but is not worth a commit.
   */
  noteTask(task: TaskState): void {
    if (!task.job.isFinal) this.writerOf(task.job).addTask(task);
  }

  /** Adds a worker whose ends have been processed. */
  addProcessedEnds(worker: WorkerState): void {
    this.workers.add(worker);
  }

  /** Adds the deletion of all records of a job. */
  removeJob(job: JobState): void {
    this.jobs.delete(job);
    this.writers.delete(job);
    const {keys} = this.options;
    const {id} = job.definition;
    const records = [
      keys.submission(id),
      keys.cancellation(id),
      keys.progress(id),
      keys.progressChanges(id),
    ];
    for (const key of records) this.deletions.push({key, value: undefined});
  }

  /** Adds a start, which is sent once the progress of its job is committed. */
  addStart(task: TaskState): void {
    this.starts.push(task);
  }

  /** Removes a start that is not to be sent. */
  removeStart(task: TaskState): void {
    const position = this.starts.indexOf(task);
    if (position >= 0) this.starts.splice(position, 1);
  }

  /**
   * Removes and returns the pending changes, those that the starts of urgent
   * jobs depend on first. A start is sent once its own batch is committed, ends
   * are acknowledged once all batches are.
   */
  take(): PendingCommit {
    const jobs = [...this.jobs];
    this.jobs.clear();
    const startsByJob = groupByJob(this.starts.splice(0));
    const removals = this.deletions.splice(0);
    const {queues} = this.options;
    const rank = (job: JobState): number =>
      startsByJob.has(job) ? queues.termsOf(job).priority : NO_START_RANK;
    jobs.sort((left, right) => rank(left) - rank(right));
    const batches: CommitBatch[] = [];
    for (const chunk of chunks(jobs, MAX_CHANGES_PER_COMMIT)) {
      batches.push(this.createBatch(chunk, startsByJob));
    }
    for (const changes of chunks(removals, MAX_DELETIONS_PER_COMMIT)) {
      batches.push({changes, onStored: () => undefined});
    }
    const onStored = recordProcessedEnds(this.workers);
    this.workers.clear();
    return {batches, onStored};
  }

  private createBatch(
    jobs: readonly JobState[],
    startsByJob: ReadonlyMap<JobState, readonly TaskState[]>,
  ): CommitBatch {
    const {onStart} = this.options;
    const changes = jobs.map((job) => this.createWrite(job));
    const phases = jobs.map((job) => [job, job.phase] as const);
    return {
      changes,
      onStored: () => {
        this.publishPhases(phases);
        for (const job of jobs) {
          for (const task of startsByJob.get(job) ?? []) onStart(task);
        }
      },
    };
  }

  /**
   * Returns the write for a job. One that the store would refuse for its size
   * would keep all other changes from being stored: its job ends instead.
   */
  private createWrite(job: JobState): StoreWrite {
    const write = this.writerOf(job).createWrite();
    if (write.value.length <= MAX_VALUE_BYTES) return write;
    this.options.onRecordTooLarge(job);
    return this.writerOf(job).createWrite();
  }

  private writerOf(job: JobState): ProgressWriter {
    let writer = this.writers.get(job);
    if (!writer) {
      writer = new ProgressWriter(job, this.options.keys);
      this.writers.set(job, writer);
    }
    return writer;
  }

  private publishPhases(
    phases: ReadonlyArray<readonly [JobState, JobPhase]>,
  ): void {
    const changed = phases.filter(([job, phase]) => job.storedPhase !== phase);
    for (const [job, phase] of changed) job.storedPhase = phase;
    this.options.onPhases(
      changed.map(([{definition}, phase]) => [definition.id, phase]),
    );
  }
}

/**
 * Returns a callback that marks the ends which the workers have reported so far
 * as stored, except those of an incarnation that has ended meanwhile.
 */
function recordProcessedEnds(workers: Iterable<WorkerState>): () => void {
  const processed = [...workers].map(
    (worker) => [worker, worker.incarnation, worker.processedSequence] as const,
  );
  return () => {
    for (const [worker, incarnation, sequence] of processed) {
      if (worker.incarnation === incarnation) worker.storedSequence = sequence;
    }
  };
}

function groupByJob(
  tasks: readonly TaskState[],
): ReadonlyMap<JobState, TaskState[]> {
  const byJob = new Map<JobState, TaskState[]>();
  for (const task of tasks) {
    const group = byJob.get(task.job) ?? [];
    group.push(task);
    byJob.set(task.job, group);
  }
  return byJob;
}

function* chunks<T>(values: readonly T[], size: number): Generator<T[]> {
  for (let start = 0; start < values.length; start += size) {
    yield values.slice(start, start + size);
  }
}
