import {ResultError} from '../result_codes/result_error.js';

interface Waiter {
  resolve: () => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** Requests that wait for an event of a job, such as its acceptance or end. */
export class JobWaiters {
  private readonly waiters = new Map<string, Set<Waiter>>();

  /** Number of waiting requests. */
  get size(): number {
    let count = 0;
    for (const waiters of this.waiters.values()) count += waiters.size;
    return count;
  }

  /**
   * Waits until {@link settle} is called for the job.
   *
   * @param jobId - ID of the job.
   * @param timeoutMs - Time limit in ms.
   * @param onTimeout - Creates the error for a wait that reaches the limit.
   */
  wait(
    jobId: string,
    timeoutMs: number,
    onTimeout: () => ResultError,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiters = this.waiters.get(jobId) ?? new Set();
      this.waiters.set(jobId, waiters);
      const timer = setTimeout(() => {
        waiters.delete(waiter);
        if (waiters.size === 0) this.waiters.delete(jobId);
        reject(onTimeout());
      }, timeoutMs);
      const waiter: Waiter = {resolve, reject, timer};
      waiters.add(waiter);
    });
  }

  /** Resolves all waits for a job, or rejects them if an error is given. */
  settle(jobId: string, error?: ResultError): void {
    const waiters = this.waiters.get(jobId);
    this.waiters.delete(jobId);
    for (const {resolve, reject, timer} of waiters ?? []) {
      clearTimeout(timer);
      if (error) reject(error);
      else resolve();
    }
  }

  /** Rejects the waits for all jobs. */
  settleAll(error: ResultError): void {
    for (const jobId of [...this.waiters.keys()]) this.settle(jobId, error);
  }
}
