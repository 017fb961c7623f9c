import {Clock} from '../../clock/clock.js';
import {NodeLog} from '../../logging/node_log.js';
import {CrashPart} from '../../work/crash_part.js';
import {CrashRole} from '../../work/crash_role.js';
import {StoredLoss} from '../../work/stored_loss.js';
import {attributeCrash} from './attribute_crash.js';
import {LossHistory} from '../workers/loss_history.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** What shows that an incarnation of a worker has ended. */
export const CrashEvidence = {
  /** Another incarnation answers at its address. */
  REPLACED: 'replaced',
  /** It reports a later start under the same id, or its clock went back. */
  RESTARTED: 'restarted',
} as const;

/** One of the values of {@link CrashEvidence}. */
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence];

/**
 * Time in ms after the start of a run of a suspect task after which a report
 * shows that the start did not crash the worker.
 */
const PROOF_MS = 500;

/**
 * Time in ms for which a task has to run before crashes under its earlier runs
 * are forgotten; bounds how often a task that crashes later does so.
 */
const CLEAR_CRASHES_AFTER_MS = 30_000;

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  clock: Clock;
  log: NodeLog;
  /** Returns the workers of the partition. */
  workers: () => Iterable<WorkerState>;
  /** Called with each crash that is counted. */
  onCrash: () => void;
  /** Called with each task whose crash counts have changed. */
  onCounted: (task: TaskState) => void;
}

/** Tasks of a worker whose lease ended before it was known whether it crashed. */
interface OpenLoss {
  workerId: string;
  bornMs: number;
  address: string;
  readonly parts: Map<TaskState, CrashPart>;
}

/**
 * Counts the worker crashes of each task, each crash once. A worker that stops
 * to answer may be cut off and run on; its tasks are counted only once another
 * incarnation is known.
 */
export class CrashTracker {
  private readonly history: LossHistory;
  private readonly openLosses = new Map<string, OpenLoss[]>();

  constructor(private readonly options: CrashTrackerOptions) {
    this.history = new LossHistory(options.workers);
  }

  /** Number of losses of which it is not known whether the worker crashed. */
  get openLossCount(): number {
    return [...this.openLosses.values()].flat().length;
  }

  /** Records that a worker stopped to answer. */
  recordSilence(
    worker: WorkerState,
    {isTimeout = false}: {isTimeout?: boolean} = {},
  ): void {
    if (worker.isSilent) return;
    worker.isLossTimeKnown = !isTimeout;
    worker.lostMs = this.options.clock.nowMs();
    const hasSuspect = worker.unprovenSuspect() !== undefined;
    this.history.recordLoss(worker, hasSuspect);
  }

  /**
   * Records that a worker has confirmed a start that was sent at a time in ms.
   * It was lost later than that, even if a poll had failed before: a poll also
   * fails when its connection breaks.
   */
  recordConfirmation(worker: WorkerState, sentMs: number): void {
    if (worker.isSilent) worker.lostMs = Math.max(worker.lostMs, sentMs);
  }

  /** Records that a worker answers again; it was not lost if it runs on. */
  recordAnswer(worker: WorkerState): void {
    if (!worker.isCrashCounted) this.history.removeLoss(worker);
    worker.lostMs = Infinity;
    worker.hasEnded = false;
    worker.isCrashCounted = false;
  }

  /**
   * Counts the crash of the incarnation that ran the tasks of a worker. Workers
   * that leave as planned do not crash.
   */
  recordCrash(worker: WorkerState, evidence: CrashEvidence): void {
    if (worker.isCrashCounted) return;
    worker.isCrashCounted = true;
    const {address, isDraining} = worker.registration;
    this.recordSilence(worker);
    if (!isDraining) {
      this.count(
        address,
        this.attribute(worker),
        evidence,
        worker.registration.id,
      );
    }
  }

  /**
   * Records that the lease of a silent worker has ended, so that its tasks are
   * placed again before it is known whether the worker has crashed.
   */
  recordLeaseEnd(worker: WorkerState): void {
    if (worker.isCrashCounted || !worker.isSilent) return;
    worker.isCrashCounted = true;
    const {id, address, isDraining} = worker.registration;
    if (isDraining) return;
    const parts = this.attribute(worker);
    if (parts.size === 0) return;
    this.addOpenLoss({
      workerId: id,
      bornMs: worker.bornMs ?? worker.registration.bornMs,
      address,
      parts,
    });
  }

  /**
   * Restores a loss that an earlier owner could not settle. It is stored with
   * each task of the worker, and is one loss all the same.
   */
  restoreLoss(task: TaskState, {part, ...loss}: StoredLoss): void {
    const known = this.openLosses.get(loss.address)?.find(isLossLike(loss));
    if (!known) {
      this.addOpenLoss({...loss, parts: new Map([[task, part]])});
    } else if (!known.parts.has(task)) {
      known.parts.set(task, part);
      this.recordOpenLoss(task, {...loss, part});
    }
  }

  /**
   * Settles the losses at the address of a worker that has reported: the same
   * incarnation was only cut off, another one shows that the earlier crashed.
   */
  settleLosses(worker: WorkerState): void {
    const {address} = worker.registration;
    const losses = this.openLosses.get(address);
    if (!losses) return;
    this.openLosses.delete(address);
    for (const loss of losses) {
      for (const task of loss.parts.keys()) removeLoss(task, loss.workerId);
      const isSame = isSameIncarnation(loss, worker);
      if (isSame) {
        for (const task of loss.parts.keys()) this.options.onCounted(task);
        continue;
      }
      this.count(address, loss.parts, CrashEvidence.REPLACED, loss.workerId);
    }
  }

  /**
   * Updates which suspects on a worker have run long enough, by its latest
   * report, not to be blamed for a crash.
   *
   * @param writtenMs - Time in ms at which the report was written.
   */
  recordProgress(worker: WorkerState, writtenMs: number): void {
    for (const task of [...worker.suspects]) {
      if (!task.isSuspect || task.state !== 'running') continue;
      const ranMs = writtenMs - task.runningSinceMs;
      if (ranMs >= CLEAR_CRASHES_AFTER_MS) this.clear(task);
      else if (ranMs >= PROOF_MS && !task.isProven) {
        task.isProven = true;
        worker.version += 1;
      }
    }
  }

  /** Forgets the crashes of a task. */
  private clear(task: TaskState): void {
    task.crashes.clear();
    task.losses.length = 0;
    this.options.log.logDecision('crash-suspicion-cleared', {task: task.name});
    this.options.onCounted(task);
  }

  private addOpenLoss(loss: OpenLoss): void {
    this.removeObsoleteLosses();
    const known = this.openLosses.get(loss.address) ?? [];
    this.openLosses.set(loss.address, [...known, loss]);
    for (const [task, part] of loss.parts) {
      const {workerId, bornMs, address} = loss;
      this.recordOpenLoss(task, {workerId, bornMs, address, part});
    }
  }

  private recordOpenLoss(task: TaskState, loss: StoredLoss): void {
    task.losses.push(loss);
    this.options.onCounted(task);
  }

  /** Removes the losses of tasks that have ended, which no crash concerns. */
  private removeObsoleteLosses(): void {
    const isOpen = ({parts}: OpenLoss): boolean =>
      [...parts.keys()].some(
        ({job, state}) => !job.isFinal && state !== 'done',
      );
    for (const [address, losses] of this.openLosses) {
      const open = losses.filter(isOpen);
      if (open.length > 0) this.openLosses.set(address, open);
      else this.openLosses.delete(address);
    }
  }

  private attribute(worker: WorkerState): Map<TaskState, CrashPart> {
    return attributeCrash({
      tasks: worker.tasks,
      lostMs: worker.lostMs,
      isLossTimeKnown: worker.isLossTimeKnown,
      isMachineUnreliable: this.history.isUnreliable(
        worker.registration.address,
        this.options.clock.nowMs(),
      ),
      isWidespread: this.history.isWidespread(worker),
      hasOrphans: worker.hasOrphans,
    });
  }

  private count(
    address: string,
    parts: ReadonlyMap<TaskState, CrashPart>,
    evidence: CrashEvidence,
    worker: string,
  ): void {
    const tasksIn = (wanted: CrashRole): string[] =>
      [...parts]
        .filter(([, {role}]) => role === wanted)
        .map(([{name}]) => name);
    const causes = tasksIn(CrashRole.CAUSE);
    this.options.log.logDecision('worker-crashed', {
      worker,
      address,
      evidence,
      causes,
      suspects: tasksIn(CrashRole.SUSPECT),
      bystanders: tasksIn(CrashRole.BYSTANDER).length,
    });
    this.options.onCrash();
    if (causes.length === 0) {
      this.history.recordUnexplained(address, {
        atMs: this.options.clock.nowMs(),
        suspects: [...parts.keys()],
      });
    }
    for (const [task, part] of parts) {
      if (task.job.isFinal || task.state === 'done') continue;
      task.crashes.add(part);
      task.crashedAddress = address;
      this.options.onCounted(task);
    }
  }
}

/** The incarnation of a worker that was lost. */
type LostIncarnation = Pick<OpenLoss, 'workerId' | 'bornMs'>;

function isLossLike(
  loss: LostIncarnation,
): (other: LostIncarnation) => boolean {
  return ({workerId, bornMs}) =>
    workerId === loss.workerId && bornMs === loss.bornMs;
}

/** Whether a worker is the incarnation that was lost. */
function isSameIncarnation(loss: OpenLoss, worker: WorkerState): boolean {
  if (loss.workerId !== worker.registration.id) return false;
  return loss.bornMs === 0 || loss.bornMs === worker.bornMs;
}

function removeLoss(task: TaskState, workerId: string): void {
  const position = task.losses.findIndex((loss) => loss.workerId === workerId);
  if (position >= 0) task.losses.splice(position, 1);
}
