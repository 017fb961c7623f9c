import {NodeLog} from '../../logging/node_log.js';
import {BestEffortController} from '../placement/best_effort_controller.js';
import {JobState} from './job_state.js';
import {summarizeLoad} from '../workers/load_summary.js';
import {SchedulingTime} from '../placement/scheduling_time.js';
import {WaitMonitor} from './wait_monitor.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link SummaryLog}. */
export interface SummaryLogOptions {
  log: NodeLog;
  waits: WaitMonitor;
  bestEffort: BestEffortController;
  workers: ReadonlyMap<string, WorkerState>;
}

/** Interval in ms between load summaries in the log. */
const SUMMARY_INTERVAL_MS = 1000;

/** Interval in ms between summaries of the interference model in the log. */
const INTERFERENCE_LOG_INTERVAL_MS = 10_000;

/** Maximum number of pairs of images in one log line. */
const LOGGED_PAIRS = 100;

/** Logs the load, jobs that wait and, less often, the interference model. */
export class SummaryLog {
  private summaryMs = -Infinity;
  private interferenceLogMs = -Infinity;

  constructor(private readonly options: SummaryLogOptions) {}

  /** Logs the summaries that are due. */
  logDue(openJobs: ReadonlySet<JobState>, time: SchedulingTime): void {
    const {nowMs} = time;
    if (nowMs - this.summaryMs < SUMMARY_INTERVAL_MS) return;
    this.summaryMs = nowMs;
    const {log, waits, workers, bestEffort} = this.options;
    const summary = summarizeLoad(openJobs, workers.values());
    log.logSummary('load', {...summary, ...waits.check(openJobs, time)});
    if (nowMs - this.interferenceLogMs < INTERFERENCE_LOG_INTERVAL_MS) return;
    this.interferenceLogMs = nowMs;
    const pairs = bestEffort.interference.pairs();
    if (pairs.length === 0) return;
    log.logSummary('interference', {
      known: pairs.length,
      pairs: pairs.slice(-LOGGED_PAIRS),
    });
  }
}
