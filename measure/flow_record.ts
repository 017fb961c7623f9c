import {build, Histogram} from 'hdr-histogram-js';

import {LoadFlow} from './flood_load.js';

/** What happened to the requests of one flow in one phase. */
export class FlowRecord {
  offered = 0;
  answered = 0;
  readonly latencyMicroseconds: Histogram = build({
    numberOfSignificantValueDigits: 3,
  });

  constructor(readonly flow: LoadFlow) {}

  /** Records an answer. */
  recordAnswer(latencyMs: number): void {
    this.answered += 1;
    this.latencyMicroseconds.recordValue(Math.round(latencyMs * 1000));
  }
}
