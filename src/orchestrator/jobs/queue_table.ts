import {Queue, QueueTerms} from '../../work/configuration.js';
import {JobState} from './job_state.js';

/**
 * Terms of a job that an earlier build accepted, once its queue was removed. No
 * failed task runs again: one more run might be more than the queue allowed.
 */
const UNKNOWN_TERMS: QueueTerms = {
  priority: 1000,
  maxAttempts: 1,
  stretch: 1,
  targetLatencyMs: 0,
  needsAdvice: false,
};

/**
 * Queues of the configuration in force, and the terms of jobs. A job keeps the
 * terms of its queue, and its service, when an operator removes the queue: it was
 * accepted under them.
 */
export class QueueTable {
  private inForce: ReadonlyMap<string, Queue> = new Map();
  /** Priority of the most urgent queues in force. */
  private topPriority = 0;

  /** Replaces the queues in force. */
  configure(queues: readonly Queue[]): void {
    this.inForce = new Map(queues.map((queue) => [queue.name, queue]));
    this.topPriority = Math.min(...queues.map(({priority}) => priority));
  }

  /** Returns the terms under which a job runs. */
  termsOf({definition}: JobState): QueueTerms {
    const queue = this.inForce.get(definition.queue);
    return queue ?? definition.terms ?? UNKNOWN_TERMS;
  }

  /** Returns the service whose workers run a job. */
  serviceOf({definition}: JobState): string {
    return this.inForce.get(definition.queue)?.service ?? definition.service;
  }

  /** Whether no queue in force is more urgent than that of a job. */
  isUrgent(job: JobState): boolean {
    return this.termsOf(job).priority <= this.topPriority;
  }
}
