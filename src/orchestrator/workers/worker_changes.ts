import {WorkerState} from './worker_state.js';

/** Workers that changed between a pass and the one before it. */
interface PassChanges {
  pass: number;
  workers: readonly WorkerState[];
}

/**
 * Number of passes whose changes are kept; at passes of 6 ms, more than the
 * interval after which all workers are searched anyway.
 */
const KEPT_PASSES = 64;

/** Tracks which workers changed in the latest scheduling passes. */
export class WorkerChanges {
  private pass = 0;
  private readonly versions = new WeakMap<WorkerState, number>();
  private readonly recent: PassChanges[] = [];

  /** Number of the current pass. */
  get currentPass(): number {
    return this.pass;
  }

  /** Begins a pass and records which workers changed since the last one. */
  beginPass(workers: Iterable<WorkerState>): void {
    this.pass += 1;
    const changed: WorkerState[] = [];
    for (const worker of workers) {
      if (this.versions.get(worker) === worker.version) continue;
      this.versions.set(worker, worker.version);
      changed.push(worker);
    }
    this.recent.push({pass: this.pass, workers: changed});
    if (this.recent.length > KEPT_PASSES) this.recent.shift();
  }

  /**
   * Returns the workers that changed after a pass began; undefined if the pass
   * is too long ago.
   */
  changedAfter(pass: number): readonly WorkerState[] | undefined {
    if (pass < this.pass - this.recent.length) return undefined;
    const changed = new Set<WorkerState>();
    for (const {pass: changePass, workers} of this.recent) {
      if (changePass <= pass) continue;
      for (const worker of workers) changed.add(worker);
    }
    return [...changed];
  }
}
