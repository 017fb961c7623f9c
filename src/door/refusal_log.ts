import {Clock} from '../clock/clock.js';
import {NodeLog} from '../logging/node_log.js';
import {DoorRefusal} from './door_refusal.js';

/** Options of {@link RefusalLog}. */
export interface RefusalLogOptions {
  clock: Clock;
  log: NodeLog;
  /** Name of the listener. */
  listener: string;
  /** Increments a counter series of the metrics. */
  increment: (series: string) => void;
}

/** Minimum time in ms between two log lines. */
const LOG_INTERVAL_MS = 1000;

/** Counts refusals of a listener, and logs the counts at most once a second. */
export class RefusalLog {
  private readonly counts = new Map<DoorRefusal, number>();
  private loggedMs = -Infinity;

  constructor(private readonly options: RefusalLogOptions) {}

  /** Records a refusal. */
  record(reason: DoorRefusal): void {
    const {clock, log, listener, increment} = this.options;
    increment(`door_refusals_total{listener="${listener}",reason="${reason}"}`);
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1);
    const nowMs = clock.nowMs();
    if (nowMs - this.loggedMs < LOG_INTERVAL_MS) return;
    this.loggedMs = nowMs;
    const refusals = Object.fromEntries(this.counts);
    this.counts.clear();
    log.logDecision('door', {listener, refusals});
  }
}
