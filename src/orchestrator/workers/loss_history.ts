import {TaskState} from '../runs/task_state.js';
import {WorkerState} from './worker_state.js';

/** A worker that stopped to answer. */
interface Loss {
  workerId: string;
  rack: string;
  lostMs: number;
  /** Whether a task that may crash it had not run long enough to be proven. */
  hasSuspect: boolean;
}

/**
 * Time in ms between two losses that may have one cause outside the workers. A
 * silent worker is noticed when its poll times out.
 */
const WIDESPREAD_WINDOW_MS = 1500;

/** Fraction of all workers whose loss at once has a cause outside of them. */
const WIDESPREAD_FRACTION = 0.1;

/** Fraction of a rack whose loss at once shows a fault of the rack. */
const RACK_FRACTION = 0.3;

/** Least number of other workers for either. */
const MIN_LOSSES = 4;

/** Time in ms for which losses are kept. */
const KEEP_LOSSES_MS = 15_000;

/** Time in ms for which a crash without a known cause speaks against a machine. */
const UNRELIABLE_MS = 60_000;

/** A crash for which no single task was the likely cause. */
interface UnexplainedCrash {
  atMs: number;
  suspects: readonly TaskState[];
}

/** Recent losses of workers, to tell faults outside the tasks on them. */
export class LossHistory {
  private losses: Loss[] = [];
  /** Latest crash without a known cause, by address. */
  private readonly unexplained = new Map<string, UnexplainedCrash>();

  /** @param workers - Returns the workers of the partition. */
  constructor(private readonly workers: () => Iterable<WorkerState>) {}

  /** Records that a worker stopped to answer. */
  recordLoss(worker: WorkerState, hasSuspect: boolean): void {
    const {lostMs, rack} = worker;
    this.losses = this.losses.filter(
      (loss) => lostMs - loss.lostMs < KEEP_LOSSES_MS,
    );
    const workerId = worker.registration.id;
    this.losses.push({workerId, rack, lostMs, hasSuspect});
  }

  /** Removes the loss of a worker that turned out to run on. */
  removeLoss(worker: WorkerState): void {
    const {id} = worker.registration;
    this.losses = this.losses.filter(({workerId}) => workerId !== id);
  }

  /** Records a crash for which no single task is the likely cause. */
  recordUnexplained(address: string, crash: UnexplainedCrash): void {
    for (const [known, {atMs}] of this.unexplained) {
      if (crash.atMs - atMs >= UNRELIABLE_MS) this.unexplained.delete(known);
    }
    this.unexplained.set(address, crash);
  }

  /**
   * Returns whether a machine has crashed lately without a known cause. A later
   * crash of one of its suspects elsewhere explains the crash.
   */
  isUnreliable(address: string, nowMs: number): boolean {
    const crash = this.unexplained.get(address);
    if (!crash || nowMs - crash.atMs >= UNRELIABLE_MS) return false;
    return !crash.suspects.some(({crashes}) => crashes.isRepeated);
  }

  /**
   * Returns whether so many other workers were lost at about the same time that
   * the cause is a rack, a data centre or a network, not a task.
   */
  isWidespread(worker: WorkerState): boolean {
    const others = this.losses.filter(
      (loss) =>
        loss.workerId !== worker.registration.id &&
        !loss.hasSuspect &&
        Math.abs(loss.lostMs - worker.lostMs) <= WIDESPREAD_WINDOW_MS,
    );
    if (others.length < MIN_LOSSES) return false;
    const workers = [...this.workers()];
    const inRack = ({rack}: {rack: string}): boolean => rack === worker.rack;
    const rackSize = workers.filter(inRack).length;
    return (
      others.length >= workers.length * WIDESPREAD_FRACTION ||
      others.filter(inRack).length >= rackSize * RACK_FRACTION
    );
  }
}
