import {Clock} from '../clock/clock.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {NodeLog} from '../logging/node_log.js';
import {TaskState} from './task_state.js';
import {OrderOutcome, RunOrder, WorkerPort} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  clock: Clock;
  log: NodeLog;
  term: OwnerTerm;
  port: WorkerPort;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Takes the answer to a start. */
  onStart: (task: TaskState, run: number, outcome: OrderOutcome) => void;
  /** Takes the answer to a stop. */
  onStop: (task: TaskState, run: number, outcome: OrderOutcome) => void;
}

/** Sends the orders of one term to workers and reports their answers. */
export class OrderSender {
  constructor(private readonly options: OrderSenderOptions) {}

  /** Starts the task's current run on its worker. */
  async start(task: TaskState, worker: WorkerState): Promise<void> {
    const {clock, term, port, longestLeaseMs, onStart} = this.options;
    const {run, checkpoint, ticket} = task;
    const leaseUntilMs = worker.leaseLimit(clock.nowMs(), longestLeaseMs);
    worker.noteLease(leaseUntilMs);
    const outcome = await port.start({
      worker: worker.entry,
      task: task.name,
      run,
      specification: task.job.definition.specification,
      leaseUntilMs,
      fencingToken: term.token,
      checkpoint,
      ticket,
    });
    if (!term.isOver) onStart(task, run, outcome);
  }

  /** Stops the task's current run on its worker. */
  async stop(task: TaskState, worker: WorkerState): Promise<void> {
    const {run} = task;
    const order = this.order(worker, task.name, run);
    const outcome = await this.options.port.stop(order);
    if (!this.options.term.isOver) this.options.onStop(task, run, outcome);
  }

  /** Stops a run that no task accounts for. */
  async stopStray(
    stray: {task: string; run: number},
    worker: WorkerState,
  ): Promise<void> {
    const order = this.order(worker, stray.task, stray.run);
    const {kind} = await this.options.port.stop(order);
    this.options.log.decide('stop-stray', {
      ...stray,
      worker: worker.entry.id,
      outcome: kind,
    });
  }

  /** Lets a task work at its pace. */
  async pace(task: TaskState, worker: WorkerState): Promise<void> {
    const order = this.order(worker, task.name, task.run);
    const percent = task.pacePercent;
    const outcome = await this.options.port.pace({...order, percent});
    if (outcome.kind === 'done') return;
    this.options.log.decide('pace-failed', {
      task: task.name,
      percent,
      reason: outcome.reason,
    });
  }

  private order(worker: WorkerState, task: string, run: number): RunOrder {
    const {token} = this.options.term;
    return {worker: worker.entry, task, run, fencingToken: token};
  }
}
