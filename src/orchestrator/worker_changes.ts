import {WorkerState} from './worker_state.js';

interface SeenVersion {
  version: number;
  /** Pass in which the version was first seen. */
  pass: number;
}

/** Tracks since which scheduling pass each worker is unchanged. */
export class WorkerChanges {
  private pass = 0;
  private readonly seen = new WeakMap<WorkerState, SeenVersion>();

  /** Number of the current pass. */
  get currentPass(): number {
    return this.pass;
  }

  /** Begins a pass and records which workers changed since the last one. */
  beginPass(workers: Iterable<WorkerState>): void {
    this.pass += 1;
    for (const worker of workers) {
      const {version} = worker;
      const known = this.seen.get(worker);
      if (!known) this.seen.set(worker, {version, pass: this.pass});
      else if (known.version !== version) {
        known.version = version;
        known.pass = this.pass;
      }
    }
  }

  /** Returns the workers that changed after a pass began. */
  *changedAfter(
    pass: number,
    workers: Iterable<WorkerState>,
  ): Generator<WorkerState> {
    for (const worker of workers) {
      if ((this.seen.get(worker)?.pass ?? Infinity) > pass) yield worker;
    }
  }
}
