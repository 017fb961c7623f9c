import {CommitLog} from '../../leadership/commit_log.js';
import {CommitBatch, PendingCommit} from '../orchestrator_effects.js';

/** Options of {@link CommitLoop}. */
export interface CommitLoopOptions {
  /** Chains of transactions, which are written at the same time. */
  commitLogs: readonly CommitLog[];
  /** Returns whether there are changes to commit. */
  hasPending: () => boolean;
  /** Removes and returns all pending changes. */
  takePending: () => PendingCommit;
  /** Called when a commit fails because the term has ended. */
  onFenced: (error: Error) => void;
}

/** Delay in ms to batch changes before they are committed. */
const BATCH_DELAY_MS = 8;

/**
 * Commits changes in batches. The batches of one round change different jobs, so
 * that they can be committed in any order: each chain takes the next batch as
 * soon as its last one is stored. A round ends before the next one begins.
 */
export class CommitLoop {
  private timer: NodeJS.Timeout | undefined;
  private isCommitting = false;
  private stopped = false;
  private waiters: Array<() => void> = [];

  constructor(private readonly options: CommitLoopOptions) {}

  /** Requests a commit after the batching delay. */
  request(): void {
    if (this.stopped || this.isCommitting) return;
    this.timer ??= setTimeout(() => void this.run(), BATCH_DELAY_MS);
  }

  /** Resolves once all changes that are pending now are committed. */
  whenCommitted(): Promise<void> {
    if (!this.isCommitting && !this.options.hasPending()) {
      return Promise.resolve();
    }
    this.request();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  /** Stops; changes that are not yet committed are dropped. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    for (const commitLog of this.options.commitLogs) commitLog.stop();
  }

  private async run(): Promise<void> {
    this.timer = undefined;
    this.isCommitting = true;
    try {
      while (!this.stopped && this.options.hasPending()) {
        await this.commitPending();
      }
    } catch (error) {
      this.options.onFenced(error as Error);
    } finally {
      this.isCommitting = false;
    }
  }

  private async commitPending(): Promise<void> {
    const waiters = this.waiters;
    this.waiters = [];
    const pending = this.options.takePending();
    const batches = pending.batches[Symbol.iterator]();
    await Promise.all(
      this.options.commitLogs.map((commitLog) =>
        commitBatches(commitLog, batches),
      ),
    );
    pending.onStored();
    for (const resolve of waiters) resolve();
  }
}

/** Commits batches, in the order in which the chains get to them. */
async function commitBatches(
  commitLog: CommitLog,
  batches: IterableIterator<CommitBatch>,
): Promise<void> {
  for (let next = batches.next(); next.done !== true; next = batches.next()) {
    const {changes, onStored} = next.value;
    await commitLog.commit(changes);
    onStored();
  }
}
