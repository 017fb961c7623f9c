import {DeadlineOrder, JobOrder} from './job_order.js';
import {RunTimeEstimates} from '../runs/run_time_estimates.js';

/** Names of the orders of waiting jobs in the settings. */
export const JobOrderName = {
  DEADLINE: 'deadline',
  LEARNED_DEADLINE: 'learned-deadline',
} as const;

/** One of the values of {@link JobOrderName}. */
export type JobOrderName = (typeof JobOrderName)[keyof typeof JobOrderName];

/**
 * Part of the expected remaining time by which a job that has not begun must
 * have more, to be begun as one that can be on time. It covers the delay by
 * neighbours, which slow best-effort work most when the fleet is full.
 */
const FRESH_MARGIN = 1.3;

/** Creates the order of waiting jobs, with the estimates that it rests on. */
export function createJobOrder(name: JobOrderName): {
  order: JobOrder;
  estimates?: RunTimeEstimates;
} {
  if (name === JobOrderName.DEADLINE) return {order: new DeadlineOrder()};
  const estimates = new RunTimeEstimates();
  const order = new DeadlineOrder({
    estimates,
    finishesBegun: true,
    freshMargin: FRESH_MARGIN,
  });
  return {order, estimates};
}
