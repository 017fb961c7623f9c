import {BufferedResponse} from './caller_response.js';
import {CallerResult} from './result_headers.js';

/** Result of a service call. */
export interface ServiceCallEnd extends CallerResult {
  /** Status of the target's response. @default none */
  status?: number;
  /** The complete response if it was buffered. @default none */
  response?: BufferedResponse;
}
