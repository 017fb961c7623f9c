import {PartitionKeys} from '../leadership/partition_keys.js';
import {StoreChange} from '../store/metadata_store.js';
import {isFinalPhase, JobPhase} from './job_definition.js';
import {
  decodeProgress,
  decodeSubmission,
  ProgressRecord,
  SubmissionRecord,
} from './job_records.js';

/** A job as the store describes it. */
export interface JobEntry {
  submission: SubmissionRecord | undefined;
  progress: ProgressRecord | undefined;
  isCancelled: boolean;
  /** Phase that the owner has told; the store may show an earlier one. */
  toldPhase: JobPhase | undefined;
}

const PHASE_ORDER: readonly JobPhase[] = [JobPhase.QUEUED, JobPhase.RUNNING];

/** Hears of jobs as the store reports them. */
export interface JobListener {
  onSubmitted(jobId: string, entry: JobEntry): void;
  onCancelled(jobId: string): void;
}

/** Local copy of the jobs of a partition, fed by a mirror of the store. */
export class JobTable {
  readonly entries = new Map<string, JobEntry>();
  private listener: JobListener | undefined;

  constructor(private readonly keys: PartitionKeys) {}

  /** Replaces the listener. */
  setListener(listener: JobListener | undefined): void {
    this.listener = listener;
  }

  /** Takes a change of a key of the partition. */
  apply(change: StoreChange): void {
    const key = this.keys.parseJobKey(change.key);
    if (!key) return;
    if (key.part === 'submission') this.applySubmission(key.jobId, change);
    else if (key.part === 'cancellation') {
      this.applyCancellation(key.jobId, change);
    } else this.applyProgress(key.jobId, change);
  }

  /** Adds a job that this node has just stored. */
  addSubmission(jobId: string, submission: SubmissionRecord): void {
    const entry = this.getOrCreateEntry(jobId);
    if (entry.submission) return;
    entry.submission = submission;
    this.listener?.onSubmitted(jobId, entry);
  }

  /** Notes a cancellation that this node has just stored. */
  addCancellation(jobId: string): void {
    const entry = this.getOrCreateEntry(jobId);
    if (entry.isCancelled) return;
    entry.isCancelled = true;
    this.listener?.onCancelled(jobId);
  }

  /** Notes a phase that the owner has stored. */
  recordPhase(jobId: string, phase: JobPhase): void {
    const entry = this.entries.get(jobId);
    if (!entry) return;
    entry.toldPhase = laterPhase(entry.toldPhase ?? JobPhase.QUEUED, phase);
  }

  /** Phase that callers are told; undefined if the job is not known. */
  phaseOf(jobId: string): JobPhase | undefined {
    const entry = this.entries.get(jobId);
    if (!entry?.submission) return undefined;
    const stored = entry.progress?.phase ?? JobPhase.QUEUED;
    const phase = laterPhase(stored, entry.toldPhase ?? JobPhase.QUEUED);
    if (entry.isCancelled && !isFinalPhase(phase)) return JobPhase.CANCELLED;
    return phase;
  }

  /** Number of jobs of a queue of which no task has started. */
  countPending(queue: string): number {
    let pending = 0;
    for (const [jobId, {submission}] of this.entries) {
      if (submission?.definition.queue !== queue) continue;
      if (this.phaseOf(jobId) === JobPhase.QUEUED) pending += 1;
    }
    return pending;
  }

  private getOrCreateEntry(jobId: string): JobEntry {
    let entry = this.entries.get(jobId);
    if (!entry) {
      entry = {
        submission: undefined,
        progress: undefined,
        isCancelled: false,
        toldPhase: undefined,
      };
      this.entries.set(jobId, entry);
    }
    return entry;
  }

  private applySubmission(jobId: string, change: StoreChange): void {
    if (change.value) {
      this.addSubmission(jobId, decodeSubmission(change.value));
    } else {
      this.entries.delete(jobId);
    }
  }

  private applyCancellation(jobId: string, change: StoreChange): void {
    if (change.value) this.addCancellation(jobId);
  }

  private applyProgress(jobId: string, change: StoreChange): void {
    if (!change.value) return;
    this.getOrCreateEntry(jobId).progress = decodeProgress(change.value);
  }
}

/** A job goes from queued to running to a final phase and never back. */
function laterPhase(left: JobPhase, right: JobPhase): JobPhase {
  const isLeftFinal = !PHASE_ORDER.includes(left);
  if (isLeftFinal) return left;
  if (!PHASE_ORDER.includes(right)) return right;
  return PHASE_ORDER.indexOf(right) > PHASE_ORDER.indexOf(left) ? right : left;
}
