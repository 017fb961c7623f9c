import {build, Histogram} from 'hdr-histogram-js';

import {LoadFlow} from './flood_load.js';

/** Counts and latencies of the requests of one flow in one phase. */
export class FlowRecord {
  /** Number of requests that were sent. */
  offered = 0;
  /** Number of requests that succeeded. */
  answered = 0;
  readonly latencyMicroseconds: Histogram = build({
    numberOfSignificantValueDigits: 3,
  });

  constructor(readonly flow: LoadFlow) {}

  /** Records a successful request with its latency. */
  recordAnswer(latencyMs: number): void {
    this.answered += 1;
    this.latencyMicroseconds.recordValue(Math.round(latencyMs * 1000));
  }
}
