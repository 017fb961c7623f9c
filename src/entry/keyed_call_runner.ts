import {BufferedResponse} from './caller_response.js';
import {ServiceCallEnd} from './service_call_end.js';

/** A non-idempotent request and its key. */
export interface KeyedRequest {
  customer: string;
  caller: string;
  key: string;
  requestId: string;
  /** Monotonic time in ms after which an answer is useless. */
  deadlineMs: number;
  /** What a repeat must have in common with the first request. */
  content: {method?: string; path?: string; body?: Buffer};
}

/** A request that waits for its claim. */
export interface KeyedCall {
  /**
   * Claims the key once the request is admitted; true if it may be sent, false
   * if it must end without being sent.
   */
  acquireClaim(): Promise<boolean>;
}

/** End of a keyed request. */
export interface KeyedCallEnd extends ServiceCallEnd {
  /** Stored answer to an earlier request with the key. @default none */
  replayed?: BufferedResponse;
}

/** Runs non-idempotent requests at most once for each key. */
export interface KeyedCallRunner {
  /** Claims the key while the request waits, and runs it if it is granted. */
  run(
    request: KeyedRequest,
    submit: (call: KeyedCall) => Promise<ServiceCallEnd>,
  ): Promise<KeyedCallEnd>;
}
