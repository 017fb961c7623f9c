import {ResultError} from '../result_codes/result_error.js';

interface Waiter {
  resolve: () => void;
  reject: (error: Error) => void;
  timer: NodeJS.Timeout;
}

/** Requests that wait for something to happen to a job. */
export class JobWaiters {
  private readonly waiters = new Map<string, Set<Waiter>>();

  /** Number of requests that wait. */
  get size(): number {
    let count = 0;
    for (const waiters of this.waiters.values()) count += waiters.size;
    return count;
  }

  /**
   * Waits until the job is settled.
   *
   * @param jobId - Job.
   * @param timeoutMs - Longest wait in ms.
   * @param onTimeout - Makes the error for a wait that was too long.
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

  /** Ends the waits for a job, with an error if one is given. */
  settle(jobId: string, error?: ResultError): void {
    const waiters = this.waiters.get(jobId);
    this.waiters.delete(jobId);
    for (const {resolve, reject, timer} of waiters ?? []) {
      clearTimeout(timer);
      if (error) reject(error);
      else resolve();
    }
  }

  /** Ends all waits with an error. */
  settleAll(error: ResultError): void {
    for (const jobId of [...this.waiters.keys()]) this.settle(jobId, error);
  }
}
