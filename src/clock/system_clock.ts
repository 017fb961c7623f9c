import {performance} from 'node:perf_hooks';

import {Clock} from './clock.js';

/** Clock of the operating system. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
