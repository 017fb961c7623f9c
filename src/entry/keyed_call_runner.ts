import {BufferedResponse} from './caller_response.js';
import {ServiceCallEnd} from './service_call_end.js';

/** A non-idempotent request with its idempotency key. */
export interface KeyedRequest {
  customer: string;
  caller: string;
  key: string;
  requestId: string;
  /** Monotonic time in ms of the deadline. */
  deadlineMs: number;
  /** Content that must be the same in each retry of the request. */
  content: {method?: string; path?: string; body?: Buffer};
}

/** A keyed request that may be sent once its key is claimed. */
export interface KeyedCall {
  /**
   * Claims the key, after the request was admitted. Resolves to true if the
   * request may be sent, or to false if it must end without being sent.
   */
  acquireClaim(): Promise<boolean>;
}

/** Result of a keyed request. */
export interface KeyedCallEnd extends ServiceCallEnd {
  /** Stored response to an earlier request with the key. @default none */
  replayed?: BufferedResponse;
}

/** Runs non-idempotent requests at most once for each key. */
export interface KeyedCallRunner {
  /**
   * Submits the request, claims its key while it is queued, and runs it if the
   * claim is granted.
   *
   * @param submit - Submits the request and resolves when it has ended.
   */
  run(
    request: KeyedRequest,
    submit: (call: KeyedCall) => Promise<ServiceCallEnd>,
  ): Promise<KeyedCallEnd>;
}
