/** Reasons for which a worker cannot accept a task now, in order of the checks. */
export const WorkerExclusion = {
  OTHER_SERVICE: 'other-service',
  UNREGISTERED: 'unregistered',
  /** Its current incarnation has not reported to this owner. */
  NOT_REPORTED: 'not-reported',
  /** Another incarnation has answered at its address. */
  ENDED: 'ended',
  DRAINING: 'draining',
  /** Its data centre is evacuated. */
  EVACUATED: 'evacuated',
  /** Runs something of which the request is not known. */
  UNKNOWN_RUNS: 'unknown-runs',
  /** Did not answer the latest poll. */
  SILENT: 'silent',
  REPORT_TOO_OLD: 'report-too-old',
  /** Blocked for a time after a refused start or a stuck run. */
  BLOCKED: 'blocked',
  /** The advice service has not allowed the step there. */
  NO_TICKET: 'no-ticket',
  /** Runs a task that may crash it. */
  UNPROVEN_SUSPECT: 'unproven-suspect',
  /** The task may crash it, and something has just been assigned there. */
  RECENT_ASSIGNMENT: 'recent-assignment',
  /** The task may crash it, and a start sent there may take effect any time. */
  START_IN_DOUBT: 'start-in-doubt',
  /** Kept free of other starts for a task that may crash it. */
  RESERVED: 'reserved',
  /** Room there is kept for a larger task that has waited. */
  HELD_ROOM: 'held-room',
  MISSING_LABEL: 'missing-label',
  /** Has the maximum number of tasks of the step. */
  STEP_LIMIT: 'step-limit',
  MEMORY: 'memory',
  ACCELERATORS: 'accelerators',
  CPU: 'cpu',
  /** CPU that other tasks leave idle, for a best-effort task. */
  LEFTOVER_CPU: 'leftover-cpu',
  /** Would leave a latency-critical task no headroom. */
  INTERFERENCE: 'interference',
} as const;

/** One of the values of {@link WorkerExclusion}. */
export type WorkerExclusion =
  (typeof WorkerExclusion)[keyof typeof WorkerExclusion];
