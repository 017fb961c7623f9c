import {decode, encode} from 'cbor-x';

import {JobDefinition, JobPhase} from './job_definition.js';
import {EarlierCrashCounts, StoredCrashCounts} from './stored_crash_counts.js';
import {StoredLoss} from './stored_loss.js';
import {submissionSchema} from './submission_schema.js';

/** Record that the gateway stores before it accepts a job. */
export interface SubmissionRecord {
  definition: JobDefinition;
  /** Unix time in ms of the acceptance. */
  acceptedWallMs: number;
}

/** Stored state of a task that has been assigned at least once. */
export interface TaskRecord {
  index: number;
  run: number;
  failures: number;
  isDone: boolean;
  /** Worker on which the latest run may still be active. @default none */
  workerId?: string;
  workerBornMs?: number;
  checkpoint?: string;
  /** Host and port of the worker. @default unknown */
  workerAddress?: string;
  /** Worker crashes under its runs. @default none */
  crashes?: TaskCrashRecord;
  /** Whether the latest run has been seen on the worker. @default false */
  hasBegun?: boolean;
}

/** Stored worker crashes of a task that a successor has to know. */
export interface TaskCrashRecord {
  counts: StoredCrashCounts | EarlierCrashCounts;
  /** Losses of workers of which it is not known whether they crashed. */
  losses: readonly StoredLoss[];
}

/** Stored state of one occurrence of a job. */
export interface OccurrenceRecord {
  number: number;
  isDone: boolean;
  /** Records of tasks by step; empty once the occurrence is done. */
  steps: TaskRecord[][];
}

/** Progress of a job as stored by the owner of its partition. */
export interface ProgressRecord {
  /** Rises with each record of the job; see {@link ProgressChanges}. */
  version: number;
  phase: JobPhase;
  /**
   * All occurrences with lower numbers are done and have no record.
   * @default 0
   */
  doneBefore?: number;
  /** Empty once the phase is final. */
  occurrences: OccurrenceRecord[];
}

/** Task in its job. */
export interface TaskChange {
  occurrence: number;
  step: number;
  task: TaskRecord;
}

/**
 * Tasks that have changed since a record of the job was stored. Valid only with
 * the record of that version.
 */
export interface ProgressChanges {
  version: number;
  tasks: TaskChange[];
}

type TaskRow = [
  index: number,
  run: number,
  failures: number,
  isDone: 0 | 1,
  workerId?: string | null,
  workerBornMs?: number,
  checkpoint?: string,
  workerAddress?: string,
  crashes?: TaskCrashRecord | null,
  hasBegun?: 1,
];

/**
 * Stands before the phase in a progress record. Builds that do not know that
 * changes may stand beside a record fail to decode it, and leave the job out.
 */
const PROGRESS_FORMAT = 2;

/**
 * Format of a record that leaves out occurrences that are done. Builds that do
 * not know it would run these again; they fail to decode it.
 */
const SHORTENED_PROGRESS_FORMAT = 3;

/** Encodes a submission as CBOR. */
export function encodeSubmission(record: SubmissionRecord): Buffer {
  return encode(record);
}

/**
 * Decodes the result of {@link encodeSubmission}.
 *
 * @throws Error if the value is not the submission of a job.
 */
export function decodeSubmission(value: Buffer): SubmissionRecord {
  return submissionSchema.parse(decode(value));
}

/** Encodes progress as CBOR, with arrays for tasks to keep the value small. */
export function encodeProgress(record: ProgressRecord): Buffer {
  const {doneBefore = 0} = record;
  return encode([
    doneBefore > 0 ? SHORTENED_PROGRESS_FORMAT : PROGRESS_FORMAT,
    record.phase,
    record.occurrences.map(({number, isDone, steps}) => [
      number,
      isDone,
      steps.map((tasks) => tasks.map(toRow)),
    ]),
    record.version,
    ...(doneBefore > 0 ? [doneBefore] : []),
  ]);
}

/** Decodes the result of {@link encodeProgress}. */
export function decodeProgress(value: Buffer): ProgressRecord {
  const fields = decode(value) as unknown[];
  const isFormatStored =
    fields[0] === PROGRESS_FORMAT || fields[0] === SHORTENED_PROGRESS_FORMAT;
  if (isFormatStored) fields.shift();
  // Builds up to 47249dc stored neither a format nor a version.
  const [phase, occurrences, version = 0, doneBefore = 0] = fields as [
    JobPhase,
    Array<[number, boolean, TaskRow[][]]>,
    number?,
    number?,
  ];
  return {
    version,
    phase,
    doneBefore,
    occurrences: occurrences.map(([number, isDone, steps]) => ({
      number,
      isDone,
      steps: steps.map((rows) => rows.map(fromRow)),
    })),
  };
}

/** Encodes changes as CBOR. */
export function encodeChanges({version, tasks}: ProgressChanges): Buffer {
  return encode([
    version,
    tasks.map(({occurrence, step, task}) => [occurrence, step, toRow(task)]),
  ]);
}

/** Decodes the result of {@link encodeChanges}. */
export function decodeChanges(value: Buffer): ProgressChanges {
  const [version, rows] = decode(value) as [
    number,
    Array<[occurrence: number, step: number, row: TaskRow]>,
  ];
  const tasks = rows.map(([occurrence, step, row]) => ({
    occurrence,
    step,
    task: fromRow(row),
  }));
  return {version, tasks};
}

function toRow(task: TaskRecord): TaskRow {
  const {index, run, failures, isDone, workerId, checkpoint, crashes} = task;
  if (workerId === undefined && !checkpoint && !crashes) {
    return [index, run, failures, isDone ? 1 : 0];
  }
  const bornMs = task.workerBornMs ?? 0;
  const worker = workerId ?? null;
  const row: TaskRow = [
    index,
    run,
    failures,
    isDone ? 1 : 0,
    worker,
    bornMs,
    checkpoint,
    task.workerAddress,
  ];
  if (crashes ?? task.hasBegun) row.push(crashes ?? null);
  if (task.hasBegun) row.push(1);
  return row;
}

function fromRow(row: TaskRow): TaskRecord {
  const [index, run, failures, isDone, workerId, workerBornMs] = row;
  const [, , , , , , checkpoint, workerAddress, crashes, hasBegun] = row;
  return {
    index,
    run,
    failures,
    isDone: isDone === 1,
    workerId: workerId ?? undefined,
    workerBornMs,
    checkpoint,
    workerAddress,
    crashes: crashes ?? undefined,
    hasBegun: hasBegun === 1,
  };
}
