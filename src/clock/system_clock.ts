import {performance} from 'node:perf_hooks';

import {Clock} from './clock.js';

/** Clock that reads the system time. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
