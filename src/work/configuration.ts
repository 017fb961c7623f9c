/** What holds for the jobs of a queue; a job is stored with it. */
export interface QueueTerms {
  /** Scheduling priority; 0 is the highest. */
  priority: number;
  /** Number of failed runs of one task after which its job fails. */
  maxAttempts: number;
  /** Objective as a multiple of the duration of the job's critical path. */
  stretch: number;
  /** Time in ms that is added to that multiple to get the objective. */
  targetLatencyMs: number;
  /** Whether the advice service decides which workers may run a step. */
  needsAdvice: boolean;
}

/** A queue that accepts jobs from callers. */
export interface Queue extends QueueTerms {
  name: string;
  host: string;
  /** Path prefix; the queue with the longest matching prefix is selected. */
  prefix: string;
  service: string;
  /** Time limit in ms for the response to a call. */
  timeoutMs: number;
}

/** Returns the terms of a queue, without what only concerns calls. */
export function queueTerms(queue: Queue): QueueTerms {
  const {priority, maxAttempts, stretch, targetLatencyMs, needsAdvice} = queue;
  return {priority, maxAttempts, stretch, targetLatencyMs, needsAdvice};
}

/** A service whose workers run the tasks of one or more queues. */
export interface WorkerService {
  name: string;
  /** Whether its workers reject tasks that exceed their capacity. */
  guardsCapacity: boolean;
}

/** One version of the configuration that operators maintain. */
export interface Configuration {
  version: number;
  queues: readonly Queue[];
  services: readonly WorkerService[];
  /** Maximum size in bytes of a request body. */
  maxBodyBytes: number;
}

/** Returns the queue of the host whose prefix is the longest match. */
export function findQueue(
  configuration: Configuration,
  host: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (!found || queue.prefix.length > found.prefix.length) found = queue;
  }
  return found;
}
