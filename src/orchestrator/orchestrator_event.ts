/** Events that are counted in the metrics. */
export const OrchestratorEvent = {
  WORKER_CRASHED: 'worker_crashes_total',
  TASK_GIVEN_UP: 'tasks_given_up_total',
  START_HELD_BACK: 'starts_held_back_total',
  JOB_FAILED: 'jobs_failed_total',
} as const;

/** One of the values of {@link OrchestratorEvent}. */
export type OrchestratorEvent =
  (typeof OrchestratorEvent)[keyof typeof OrchestratorEvent];
