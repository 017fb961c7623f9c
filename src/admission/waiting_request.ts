import {Urgency} from '../contracts/urgency.js';

/** A request that waits for a slot. */
export interface WaitingRequest {
  requestId: string;
  customer: string;
  caller: string;
  service: string;
  urgency: Urgency;
  /** Monotonic time in ms at which the request arrived. */
  arrivedMs: number;
  /** Monotonic time in ms after which an answer is useless. */
  deadlineMs: number;
}
