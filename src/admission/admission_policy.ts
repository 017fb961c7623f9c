import {ResultCode} from '../result_codes/result_code.js';
import {WaitingRequest} from './waiting_request.js';

/** Result of {@link AdmissionPolicy.offer}. */
export type AdmissionResult =
  | {admitted: true}
  | {
      admitted: false;
      code: ResultCode;
      /** Recommended delay in ms before the caller retries. */
      retryAfterMs: number;
      reason: string;
    };

/**
 * Queues requests for services, rejects those that exceed their limits, and
 * selects the request to serve next.
 */
export interface AdmissionPolicy {
  /** Queues the request, or rejects it with a reason. */
  offer(request: WaitingRequest): AdmissionResult;
  /**
   * Dequeues the next request of `service`. Requests whose deadline has passed
   * are skipped and returned by {@link removeExpired} instead.
   */
  dequeue(service: string): WaitingRequest | undefined;
  /**
   * Queues a dequeued request again that could not be sent or that is retried.
   * It is placed at the front of its caller's queue, and the slot charged for
   * it is refunded. The request is not checked against the queue limits, so
   * they may be exceeded by one for each requeued request.
   */
  requeue(request: WaitingRequest): void;
  /** Removes and returns the requests whose deadline has passed. */
  removeExpired(): WaitingRequest[];
  /** Removes a request that its caller abandoned; true if it was waiting. */
  cancel(requestId: string): boolean;
  /**
   * Records that a dequeued request ended after running for `runTimeMs`, or
   * that it did not run to its end (undefined). Must be called exactly once for
   * each dequeued request that is not requeued, because its slot counts as in
   * use until then.
   */
  recordCompletion(
    request: WaitingRequest,
    runTimeMs: number | undefined,
  ): void;
  /** Number of waiting requests of one service, or of all services. */
  waitingCount(service?: string): number;
}
