import {ResultCodes} from '../result_codes/result_code.js';
import {HeldAnswer} from './caller_answer.js';
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
  permit(): Promise<boolean>;
}

/** End of a keyed request. */
export interface KeyedCallEnd extends ServiceCallEnd {
  /** Stored answer to an earlier request with the key. @default none */
  replayed?: HeldAnswer;
}

/** Runs non-idempotent requests at most once for each key. */
export interface KeyedCalls {
  /** Claims the key while the request waits, and runs it if it is granted. */
  run(
    request: KeyedRequest,
    submit: (call: KeyedCall) => Promise<ServiceCallEnd>,
  ): Promise<KeyedCallEnd>;
}

/** Refuses all keyed requests, for processes without a platform. */
export class RefusedKeyedCalls implements KeyedCalls {
  run(): Promise<KeyedCallEnd> {
    return Promise.resolve({
      code: ResultCodes.PLATFORM_UNAVAILABLE,
      text: 'Cannot claim the key: claims are not available',
    });
  }
}
