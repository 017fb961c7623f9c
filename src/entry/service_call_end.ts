import {BufferedResponse} from './caller_response.js';
import {CallerResult} from './result_headers.js';

/** How a call ended. */
export interface ServiceCallEnd extends CallerResult {
  /** Status of the target's answer. @default none */
  status?: number;
  /** The whole answer if it was held in memory. @default none */
  response?: BufferedResponse;
}
