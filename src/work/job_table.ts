import {PartitionKeys} from '../leadership/partition_keys.js';
import {StoreChange} from '../store/metadata_store.js';
import {isFinalPhase, JobPhase} from './job_definition.js';
import {definitionBytes} from './job_size.js';
import {decodeSubmission, SubmissionRecord} from './job_records.js';

/** Local view of a job in the store. */
export interface JobEntry {
  /** Undefined if only a cancellation of the job is known. */
  submission: SubmissionRecord | undefined;
  isCancelled: boolean;
  /** Latest stored phase that this node has learned. */
  phase: JobPhase;
}

const PHASE_ORDER: readonly JobPhase[] = [JobPhase.QUEUED, JobPhase.RUNNING];

/** Receives each submission and cancellation when the table records it. */
export interface JobListener {
  /** Called once for each submitted job. */
  onSubmitted(jobId: string, entry: JobEntry): void;
  /** Called once for each cancelled job. */
  onCancelled(jobId: string): void;
}

/** Local copy of the jobs of a partition, updated by a mirror of the store. */
export class JobTable {
  readonly entries = new Map<string, JobEntry>();
  private definitions = 0;
  private listener: JobListener | undefined;

  constructor(private readonly keys: PartitionKeys) {}

  /** Estimated memory in bytes of the definitions of all jobs. */
  get definitionBytes(): number {
    return this.definitions;
  }

  /** Replaces the listener. */
  setListener(listener: JobListener | undefined): void {
    this.listener = listener;
  }

  /** Applies a change of a key; ignores keys that do not belong to a job. */
  apply(change: StoreChange): void {
    const key = this.keys.parseJobKey(change.key);
    if (!key) return;
    if (key.suffix === 'submission') this.applySubmission(key.jobId, change);
    else if (key.suffix === 'cancellation') {
      this.applyCancellation(key.jobId, change);
    }
  }

  /** Adds a stored job without waiting for the mirror to report it. */
  addSubmission(jobId: string, submission: SubmissionRecord): void {
    const entry = this.getOrCreateEntry(jobId);
    if (entry.submission) return;
    this.definitions += definitionBytes(submission.definition);
    entry.submission = submission;
    this.listener?.onSubmitted(jobId, entry);
  }

  /** Records a stored cancellation without waiting for the mirror. */
  addCancellation(jobId: string): void {
    const entry = this.getOrCreateEntry(jobId);
    if (entry.isCancelled) return;
    entry.isCancelled = true;
    this.listener?.onCancelled(jobId);
  }

  /** Forgets a cancellation that is not kept any more, unless a job has it. */
  forgetCancellation(jobId: string): void {
    const entry = this.entries.get(jobId);
    if (entry && !entry.submission) this.entries.delete(jobId);
  }

  /** Records a stored phase; never moves a job backwards. */
  recordPhase(jobId: string, phase: JobPhase): void {
    const entry = this.entries.get(jobId);
    if (entry) entry.phase = laterPhase(entry.phase, phase);
  }

  /** Returns the phase to report to callers; undefined for unknown jobs. */
  phaseOf(jobId: string): JobPhase | undefined {
    const entry = this.entries.get(jobId);
    if (!entry?.submission) return undefined;
    if (entry.isCancelled && !isFinalPhase(entry.phase)) {
      return JobPhase.CANCELLED;
    }
    return entry.phase;
  }

  /** Whether a final phase of a job is known to be stored. */
  hasEnded(jobId: string): boolean {
    const entry = this.entries.get(jobId);
    return entry?.submission !== undefined && isFinalPhase(entry.phase);
  }

  private getOrCreateEntry(jobId: string): JobEntry {
    let entry = this.entries.get(jobId);
    if (!entry) {
      entry = {
        submission: undefined,
        isCancelled: false,
        phase: JobPhase.QUEUED,
      };
      this.entries.set(jobId, entry);
    }
    return entry;
  }

  private applySubmission(jobId: string, change: StoreChange): void {
    if (change.value) {
      this.addSubmission(jobId, decodeSubmission(change.value));
    } else {
      const known = this.entries.get(jobId)?.submission;
      if (known) this.definitions -= definitionBytes(known.definition);
      this.entries.delete(jobId);
    }
  }

  private applyCancellation(jobId: string, change: StoreChange): void {
    if (change.value) this.addCancellation(jobId);
    else this.forgetCancellation(jobId);
  }
}

/** Returns the later phase; phases only advance to running and to final. */
function laterPhase(left: JobPhase, right: JobPhase): JobPhase {
  const isLeftFinal = !PHASE_ORDER.includes(left);
  if (isLeftFinal) return left;
  if (!PHASE_ORDER.includes(right)) return right;
  return PHASE_ORDER.indexOf(right) > PHASE_ORDER.indexOf(left) ? right : left;
}
