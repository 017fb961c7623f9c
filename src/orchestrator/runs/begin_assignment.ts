import {TaskState} from './task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** The next run of a task, on a worker that was chosen for it. */
export interface NextRun {
  worker: WorkerState;
  run: number;
  /** Ticket of the advice service. @default none is needed */
  ticket: string | undefined;
  /** Time in ms of the assignment. */
  nowMs: number;
}

/** Assigns a task to a worker; what was known of its last run is forgotten. */
export function beginAssignment(task: TaskState, next: NextRun): void {
  const {worker, run, ticket, nowMs} = next;
  task.apply('assigned');
  task.run = run;
  task.isUnlimitedRun =
    task.startSpeedPercent === 100 && task.checkpoint === '';
  task.percent = 0;
  task.gauge = undefined;
  task.overLimitSinceMs = Infinity;
  task.runningSinceMs = Infinity;
  task.isProven = false;
  task.isSpeedKnown = true;
  task.assignedMs = nowMs;
  task.ticket = ticket;
  task.stopSentMs = -Infinity;
  task.absentAfterMs = Infinity;
  task.assignment = {
    workerId: worker.registration.id,
    workerBornMs: worker.bornMs ?? 0,
    workerAddress: worker.registration.address,
  };
  worker.addTask(task);
}
