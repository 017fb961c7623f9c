import {ResultCode} from '../result_codes/result_code.js';
import {WaitingRequest} from './waiting_request.js';

/** Answer to an offered request. */
export type AdmissionResult =
  | {admitted: true}
  | {
      admitted: false;
      code: ResultCode;
      /** Time in ms after which a repeat is sensible. */
      retryAfterMs: number;
      reason: string;
    };

/** Decides which requests may wait and which one is served next. */
export interface AdmissionPolicy {
  /** Queues the request or refuses it with the reason. */
  offer(request: WaitingRequest): AdmissionResult;
  /**
   * Takes the next request of `service`. Requests whose deadline has passed
   * are returned by {@link takeExpired} instead.
   */
  take(service: string): WaitingRequest | undefined;
  /**
   * Returns a taken request that could not be sent, or that may be sent again.
   * It becomes the first of its caller; its use of a slot is forgotten. Until
   * it leaves, the number of waiting requests may exceed the limit by it.
   */
  requeue(request: WaitingRequest): void;
  /** Removes requests whose deadline has passed. */
  takeExpired(): WaitingRequest[];
  /** Removes a request that its caller gave up; true if it was waiting. */
  cancel(requestId: string): boolean;
  /**
   * Records that a taken request ended after it ran for `runTimeMs`, or that
   * it did not run (undefined). Due exactly once for each taken request,
   * because its slot counts as used until then.
   */
  recordCompletion(
    request: WaitingRequest,
    runTimeMs: number | undefined,
  ): void;
  /** Number of waiting requests of a service, or of all. */
  waitingCount(service?: string): number;
}
