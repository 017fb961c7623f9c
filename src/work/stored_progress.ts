import {PartitionKeys} from '../leadership/partition_keys.js';
import {
  decodeChanges,
  decodeProgress,
  OccurrenceRecord,
  ProgressChanges,
  ProgressRecord,
  TaskChange,
} from './job_records.js';

/** Progress of a job as it stands in the store. */
export interface StoredProgress {
  /** Encoded {@link ProgressRecord}. */
  record?: Buffer;
  /** Encoded {@link ProgressChanges}. @default none */
  changes?: Buffer;
}

/** Groups the items below the prefix of the progress by job id. */
export function groupProgress(
  items: Iterable<{key: string; value: Buffer}>,
  keys: PartitionKeys,
): ReadonlyMap<string, StoredProgress> {
  const progress = new Map<string, StoredProgress>();
  for (const {key, value} of items) {
    const {jobId, isChanges} = keys.parseProgressKey(key);
    const stored = progress.get(jobId) ?? {};
    progress.set(jobId, stored);
    if (isChanges) stored.changes = value;
    else stored.record = value;
  }
  return progress;
}

/**
 * Decodes the progress of a job.
 *
 * @returns Undefined if no record is stored.
 * @throws Error if a value cannot be decoded.
 */
export function decodeStoredProgress(
  stored: StoredProgress,
): ProgressRecord | undefined {
  if (!stored.record) return undefined;
  const record = decodeProgress(stored.record);
  const changes = stored.changes && decodeChanges(stored.changes);
  // Changes of an earlier version are part of the record.
  if (changes?.version !== record.version) return record;
  applyChanges(record, changes);
  return record;
}

function applyChanges(record: ProgressRecord, changes: ProgressChanges): void {
  for (const change of changes.tasks) {
    let occurrence = record.occurrences.find(
      ({number}) => number === change.occurrence,
    );
    if (!occurrence) {
      occurrence = {number: change.occurrence, isDone: false, steps: []};
      record.occurrences.push(occurrence);
    }
    applyChange(occurrence, change);
  }
}

function applyChange(
  {steps}: OccurrenceRecord,
  {step, task}: TaskChange,
): void {
  while (steps.length <= step) steps.push([]);
  const rows = steps[step]!;
  const position = rows.findIndex(({index}) => index === task.index);
  if (position >= 0) rows[position] = task;
  else rows.push(task);
}
