import {TaskState} from './task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link StartGuard}. */
export interface StartGuardOptions {
  /**
   * Returns the time in ms since the registrations of all workers were known to
   * be current. @default 0
   */
  registrationAgeMs?: () => number;
  /**
   * Time in ms after a worker has said that it drains from which on it is given
   * no start. @default 2000
   */
  drainNoticeMs?: number;
  /**
   * Returns the time in ms since the requested evacuations were known to be
   * current. @default 0
   */
  evacuationAgeMs?: () => number;
  /**
   * Time in ms after the request of an evacuation from which on nothing starts
   * in its data centre. @default no bound on the age of what is known
   */
  evacuationNoticeMs?: number;
}

/** Reasons for which an assigned task is not sent to its worker. */
export const StartRefusal = {
  JOB_ENDED: 'job-ended',
  NO_WORKER: 'no-worker',
  /** What this owner knows of workers or evacuations is too old. */
  KNOWLEDGE_TOO_OLD: 'knowledge-too-old',
  WORKER_ENDED: 'worker-ended',
  DRAINING: 'draining',
  EVACUATED: 'evacuated',
  /** The capacity of the worker has shrunk. */
  OVER_CAPACITY: 'over-capacity',
} as const;

/** One of the values of {@link StartRefusal}. */
export type StartRefusal = (typeof StartRefusal)[keyof typeof StartRefusal];

/** Default of {@link StartGuardOptions.drainNoticeMs}. */
const DRAIN_NOTICE_MS = 2000;

/**
 * Time in ms that is kept for the start itself between the last moment at which
 * what is known counts as current and the end of a notice.
 */
const START_MARGIN_MS = 300;

/** Decides whether an assigned task may still be sent to its worker. */
export class StartGuard {
  constructor(private readonly options: StartGuardOptions) {}

  /**
   * Whether a worker that drains, and an evacuation that was requested, would be
   * known by now.
   */
  get isInformed(): boolean {
    const {registrationAgeMs, drainNoticeMs = DRAIN_NOTICE_MS} = this.options;
    const {evacuationAgeMs, evacuationNoticeMs = Infinity} = this.options;
    return (
      (registrationAgeMs?.() ?? 0) <= drainNoticeMs - START_MARGIN_MS &&
      (evacuationAgeMs?.() ?? 0) <= evacuationNoticeMs - START_MARGIN_MS
    );
  }

  /** Returns why a task must not start on its worker; undefined if it may. */
  refusalOf(
    task: TaskState,
    worker: WorkerState | undefined,
  ): StartRefusal | undefined {
    if (task.job.isFinal) return StartRefusal.JOB_ENDED;
    if (!worker) return StartRefusal.NO_WORKER;
    if (worker.hasEnded) return StartRefusal.WORKER_ENDED;
    if (!this.isInformed) return StartRefusal.KNOWLEDGE_TOO_OLD;
    if (worker.registration.isDraining) return StartRefusal.DRAINING;
    if (worker.isEvacuated) return StartRefusal.EVACUATED;
    return worker.isWithinCapacityFor(task.step)
      ? undefined
      : StartRefusal.OVER_CAPACITY;
  }
}
