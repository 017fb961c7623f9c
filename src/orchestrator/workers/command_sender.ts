import {Clock} from '../../clock/clock.js';
import {OwnerTerm} from '../../leadership/owner_term.js';
import {NodeLog} from '../../logging/node_log.js';
import {TaskState} from '../runs/task_state.js';
import {
  CommandOutcome,
  RefusalReason,
  RunCommand,
  WorkerPort,
} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link CommandSender}. */
export interface CommandSenderOptions {
  clock: Clock;
  log: NodeLog;
  term: OwnerTerm;
  port: WorkerPort;
  /** Longest lease in ms that a worker grants. */
  longestLeaseMs: number;
  /** Called with the outcome of a start command. */
  onStart: (task: TaskState, run: number, outcome: CommandOutcome) => void;
  /** Called with the outcome of a stop command. */
  onStop: (task: TaskState, run: number, outcome: CommandOutcome) => void;
}

/** Sends the commands of one term to workers and reports their outcomes. */
export class CommandSender {
  constructor(private readonly options: CommandSenderOptions) {}

  /**
   * Starts the current run of a task on its worker. Sends nothing if the lease
   * of the term may have ended, as after a pause of the process: a successor
   * does not wait for leases that are granted later. A start that waits for a
   * connection is not sent either once the data centre is evacuated.
   */
  async start(task: TaskState, worker: WorkerState): Promise<void> {
    const {clock, term, port, longestLeaseMs, onStart} = this.options;
    const {run, checkpoint, ticket} = task;
    term.renewIfDue();
    if (!term.isLeaseValid) {
      const reason = RefusalReason.TERM_UNCERTAIN;
      if (!term.isOver) onStart(task, run, {kind: 'refused', reason});
      return;
    }
    const leaseUntilMs = worker.leaseLimit(clock.nowMs(), longestLeaseMs);
    worker.recordLease(leaseUntilMs);
    const outcome = await port.start({
      worker: worker.registration,
      task: task.name,
      run,
      specification: task.job.definition.specification,
      leaseUntilMs,
      fencingToken: term.token,
      checkpoint,
      ticket,
      isPermitted: () => term.isLeaseValid && !worker.isEvacuated,
    });
    if (!term.isOver) onStart(task, run, outcome);
  }

  /** Stops the current run of a task on its worker. */
  async stop(task: TaskState, worker: WorkerState): Promise<void> {
    const {run} = task;
    const command = this.createRunCommand(worker, task.name, run);
    const outcome = await this.options.port.stop(command);
    if (!this.options.term.isOver) this.options.onStop(task, run, outcome);
  }

  /** Stops a run that is not the current run of any task. */
  async stopOrphanRun(
    orphan: {task: string; run: number},
    worker: WorkerState,
  ): Promise<void> {
    const command = this.createRunCommand(worker, orphan.task, orphan.run);
    const {kind} = await this.options.port.stop(command);
    this.options.log.logDecision('stop-stray', {
      ...orphan,
      worker: worker.registration.id,
      outcome: kind,
    });
  }

  /** Sends the speed limit of a task to its worker. */
  async setSpeedLimit(task: TaskState, worker: WorkerState): Promise<void> {
    const command = this.createRunCommand(worker, task.name, task.run);
    const percent = task.speedLimitPercent;
    const outcome = await this.options.port.setSpeedLimit({
      ...command,
      percent,
    });
    if (outcome.kind === 'done') return;
    this.options.log.logDecision('pace-failed', {
      task: task.name,
      percent,
      reason: outcome.reason,
    });
  }

  private createRunCommand(
    worker: WorkerState,
    task: string,
    run: number,
  ): RunCommand {
    const {token} = this.options.term;
    return {worker: worker.registration, task, run, fencingToken: token};
  }
}
