import {Resources} from '../src/workers/resources.js';
import {
  CommandContext,
  WorkerRefusal,
  WorkerReport,
  WorkerTask,
  WorkerTaskState,
} from '../src/workers/worker_client.js';
import {WorkerOperation} from '../src/scheduler/shard_command.js';

/** A task with the time in ms that it takes at full speed. */
interface SimulatedTask extends WorkerTask {
  runTimeMs: number;
}

const NO_RESOURCES: Resources = {
  processors: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/** In-memory worker; the simulated time is passed to each call. */
export class SimulatedWorker {
  /** Rises by one with each restart. */
  incarnationNumber = 1;
  /** True once the VM of the worker has been removed. */
  isDead = false;
  /** Simulated time in ms until which no command reaches the worker. */
  unreachableUntilMs = 0;
  private tasks = new Map<string, SimulatedTask>();
  private highestEpoch = 0;
  private updatedClockMs = 0;

  constructor(
    readonly name: string,
    readonly capacity: Resources,
    private readonly options: {
      /** Rate of the worker's clock relative to simulated time. */
      clockRate: number;
      /** Simulated time in ms at which the worker's clock is 0. */
      bootMs: number;
      /**
       * False disables fencing, to test what happens without it: commands of
       * old epochs are then executed.
       */
      checksEpoch: boolean;
    },
  ) {}

  /** Restarts the worker: all tasks end and its state is lost. */
  restart(nowMs: number): void {
    this.advance(nowMs);
    this.tasks.clear();
    this.highestEpoch = 0;
    this.incarnationNumber += 1;
  }

  /** Advances running tasks and stops those whose lease has expired. */
  advance(nowMs: number): void {
    const clockMs = this.clockMs(nowMs);
    for (const task of this.running()) {
      const untilMs = Math.min(clockMs, task.leaseUntilMs);
      const progressMade = (untilMs - this.updatedClockMs) / task.runTimeMs;
      task.progress = Math.min(1, task.progress + Math.max(0, progressMade));
      if (task.progress >= 1) task.state = WorkerTaskState.FINISHED;
      else if (clockMs > task.leaseUntilMs) {
        task.state = WorkerTaskState.STOPPED;
      }
    }
    this.updatedClockMs = clockMs;
  }

  /** Returns the tasks that ran at the latest call of {@link advance}. */
  running(): SimulatedTask[] {
    return [...this.tasks.values()].filter(
      (task) => task.state === WorkerTaskState.RUNNING,
    );
  }

  /** Executes a command; calls `onStart` if it starts a task. */
  execute(
    command: {context: CommandContext; operation: WorkerOperation},
    nowMs: number,
    onStart: (task: WorkerTask) => void,
  ): WorkerReport {
    this.advance(nowMs);
    const {context, operation} = command;
    const isStaleEpoch = context.epoch < this.highestEpoch;
    if (isStaleEpoch && this.options.checksEpoch) return this.report('epoch');
    const incarnation = this.incarnationName();
    if (operation.name !== 'readBack' && context.incarnation !== incarnation) {
      return this.report('incarnation');
    }
    this.highestEpoch = Math.max(this.highestEpoch, context.epoch);
    return this.report(this.apply(operation, onStart));
  }

  private apply(
    operation: WorkerOperation,
    onStart: (task: WorkerTask) => void,
  ): WorkerRefusal | undefined {
    switch (operation.name) {
      case 'start':
        return this.start(operation.start, onStart);
      case 'renew':
        for (const task of this.running()) {
          task.leaseUntilMs = Math.max(
            task.leaseUntilMs,
            operation.leaseUntilMs,
          );
        }
        return undefined;
      case 'forget':
        for (const taskId of operation.taskIds) {
          const task = this.tasks.get(taskId);
          if (task?.state !== WorkerTaskState.RUNNING) {
            this.tasks.delete(taskId);
          }
        }
        return undefined;
      case 'readBack':
        return undefined;
      default:
        return this.applyToTask(operation);
    }
  }

  private applyToTask(operation: {
    name: string;
    taskId: string;
  }): WorkerRefusal | undefined {
    const task = this.tasks.get(operation.taskId);
    if (!task) return 'unknown-task';
    if (task.state !== WorkerTaskState.RUNNING) return undefined;
    if (operation.name === 'stop') task.state = WorkerTaskState.STOPPED;
    if (operation.name === 'checkpoint') {
      task.checkpoint = String(task.progress);
    }
    return undefined;
  }

  private start(
    start: Extract<WorkerOperation, {name: 'start'}>['start'],
    onStart: (task: WorkerTask) => void,
  ): WorkerRefusal | undefined {
    if (this.updatedClockMs > start.startBeforeMs) return 'late';
    if (this.tasks.has(start.taskId)) return undefined;
    const task: SimulatedTask = {
      taskId: start.taskId,
      state: WorkerTaskState.RUNNING,
      kind: start.kind,
      resources: start.resources,
      usage: NO_RESOURCES,
      progress: Number(start.checkpoint ?? 0),
      speed: 1,
      throttle: 1,
      leaseUntilMs: start.leaseUntilMs,
      checkpoint: start.checkpoint,
      runTimeMs: Number(start.payload),
    };
    this.tasks.set(task.taskId, task);
    onStart(task);
    return undefined;
  }

  private report(refusal?: WorkerRefusal): WorkerReport {
    const tasks = refusal === 'epoch' ? [] : [...this.tasks.values()];
    return {
      worker: this.name,
      incarnation: this.incarnationName(),
      clockMs: this.updatedClockMs,
      capacity: this.capacity,
      leaving: false,
      refusal,
      tasks: tasks.map((task) => ({...task})),
    };
  }

  private incarnationName(): string {
    return `${this.name}#${this.incarnationNumber}`;
  }

  private clockMs(nowMs: number): number {
    return (nowMs - this.options.bootMs) * this.options.clockRate;
  }
}
