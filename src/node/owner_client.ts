import {JobExplanation} from '../orchestrator/jobs/job_explanation.js';
import {GatewayResult} from './gateway_result.js';
import {
  JobMessage,
  QueueMessage,
  RelayedSubmission,
  SubmittedMessage,
} from './owner_messages.js';

/** Connection to the owner of the partition, as a gateway uses it. */
export interface OwnerClient {
  /** Whether the owner is connected. */
  readonly isOpen: boolean;
  /** Notifies the owner of a submission or cancellation that was stored. */
  send(name: string, body: JobMessage | SubmittedMessage): void;
  /** Sends a request to the owner; rejects if it does not respond in time. */
  request(
    name: string,
    body: JobMessage | QueueMessage | RelayedSubmission,
    timeoutMs: number,
  ): Promise<GatewayResult>;
}

/** Jobs of the partition as its owner knows them. */
export interface OwnedJobs {
  /** Returns the number of jobs in a queue of which no task has started. */
  countPending(queue: string): number;
  /** Explains why a job runs or waits; undefined if it is not known. */
  explain(jobId: string): JobExplanation | undefined;
}
