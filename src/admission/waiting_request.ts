import {Urgency} from '../contracts/urgency.js';

/** A request that is queued until a slot of a target is free. */
export interface WaitingRequest {
  /** Unique among all requests that wait or run. */
  requestId: string;
  customer: string;
  caller: string;
  service: string;
  urgency: Urgency;
  /** Monotonic time in ms at which the request arrived. */
  arrivedMs: number;
  /** Monotonic time in ms by which the request must have been answered. */
  deadlineMs: number;
}
