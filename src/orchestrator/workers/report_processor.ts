import {TaskState} from '../runs/task_state.js';
import {
  EndKind,
  EndReport,
  RunningReport,
  WorkerReport,
} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Callbacks for the task state changes that a report implies. */
export interface ReportHandlers {
  /** Looks up a task by name. */
  taskOf(name: string): TaskState | undefined;
  /** Called when a report shows that a run is on its worker. */
  onConfirmed(task: TaskState): void;
  /** Called when a run ended without success but did not fail itself. */
  onEnded(task: TaskState, how: string): void;
  /** Called when the assigned run of a task is not needed any more. */
  onObsolete(task: TaskState): void;
  /** Called when a run succeeded. */
  onDone(task: TaskState): void;
  /** Called when a run failed. */
  onFailed(task: TaskState): void;
  /** Called with all runs that are not the current run of any task. */
  onOrphanRuns(runs: readonly RunningReport[], worker: WorkerState): void;
}

/** Applies worker reports to the tasks that are or may be on the worker. */
export class ReportProcessor {
  constructor(private readonly handlers: ReportHandlers) {}

  /**
   * Processes a report. Tasks that it does not list have ended if it is complete
   * and the poll was sent late enough to be conclusive.
   *
   * @param times - Times in ms at which the poll was sent and, at the latest, the
   *     report was written.
   */
  process(
    worker: WorkerState,
    report: WorkerReport,
    times: {sentMs: number; writtenMs: number},
  ): void {
    const listed = new Set<TaskState>();
    const orphans: RunningReport[] = [];
    for (const end of report.ended) this.processEnd(worker, end);
    for (const running of report.running) {
      const task = this.currentRun(worker, running);
      if (task) {
        listed.add(task);
        this.processRunning(task, running, times.writtenMs);
      } else {
        orphans.push(running);
      }
    }
    this.handlers.onOrphanRuns(orphans, worker);
    // The end of a task that is not listed may be among those kept back.
    if (report.mayOmitEnds) return;
    for (const task of [...worker.tasks]) {
      if (listed.has(task) || task.state === 'assigned') continue;
      if (times.sentMs > task.absentAfterMs) {
        this.handlers.onEnded(task, 'not-there');
      }
    }
  }

  private processEnd(worker: WorkerState, end: EndReport): void {
    if (end.sequence <= worker.processedSequence) return;
    worker.processedSequence = end.sequence;
    const task = this.currentRun(worker, end);
    if (!task) {
      this.processSupersededEnd(end);
      return;
    }
    if (task.step.isCheckpointed && end.checkpoint !== '') {
      task.checkpoint = end.checkpoint;
    }
    if (end.kind === EndKind.DONE) this.handlers.onDone(task);
    else if (end.kind === EndKind.FAILED) this.handlers.onFailed(task);
    else this.handlers.onEnded(task, end.kind);
  }

  /**
   * Accepts the success of an earlier run that was presumed lost, as long as no
   * start of the next run has been sent.
   */
  private processSupersededEnd(end: EndReport): void {
    const task = this.handlers.taskOf(end.task);
    if (!task || task.step.isLongRunning || end.kind !== EndKind.DONE) return;
    if (task.state === 'assigned') this.handlers.onObsolete(task);
    if (task.state === 'waiting') this.handlers.onDone(task);
  }

  private processRunning(
    task: TaskState,
    running: RunningReport,
    writtenMs: number,
  ): void {
    this.handlers.onConfirmed(task);
    if (running.percent !== task.percent) {
      task.percent = running.percent;
      task.lastProgressMs = writtenMs;
    }
    task.gauge = running.gauge;
    if (task.step.isCheckpointed && running.checkpoint !== '') {
      task.checkpoint = running.checkpoint;
    }
  }

  private currentRun(
    worker: WorkerState,
    row: {task: string; run: number},
  ): TaskState | undefined {
    const task = this.handlers.taskOf(row.task);
    if (!task || task.run !== row.run) return undefined;
    return task.assignment?.workerId === worker.registration.id
      ? task
      : undefined;
  }
}
