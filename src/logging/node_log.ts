import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';

/** Options of {@link NodeLog}. */
export interface NodeLogOptions {
  /** Receives the lines. */
  logger: Logger;
  clock: Clock;
  /** Maximum decision lines per second; the excess is counted. @default 400 */
  linesPerSecond?: number;
}

/** Length in ms of a rate-limit window. */
const WINDOW_MS = 1000;

/**
 * Share of the rate limit that details may use. A busy owner logs thousands of
 * details a second, which must not displace the lines about whole jobs.
 */
const DETAIL_SHARE = 0.6;

/**
 * Log of the decisions of a node, with a rate limit in lines per second. Lines
 * over the limit are dropped and counted, so that logging stays bounded under
 * load.
 */
export class NodeLog {
  private windowStartMs = -Infinity;
  private writtenCount = 0;
  private writtenDetailCount = 0;
  private omittedCount = 0;
  private readonly linesPerSecond: number;

  constructor(private readonly options: NodeLogOptions) {
    this.linesPerSecond = options.linesPerSecond ?? 400;
  }

  /**
   * Logs a decision at level info; dropped if it is over the rate limit.
   *
   * @param decision - Name of the event, such as 'place'.
   * @param facts - Inputs of the decision, with their age or version, and its
   *     outcome.
   */
  logDecision(decision: string, facts: Record<string, unknown> = {}): void {
    this.beginWindowIfDue();
    this.writeIf(this.writtenCount < this.linesPerSecond, decision, facts);
  }

  /**
   * Logs a decision about a single run of a task at level info; dropped if it
   * is over the share of the rate limit that details may use.
   */
  logDetail(decision: string, facts: Record<string, unknown>): void {
    this.beginWindowIfDue();
    const isAllowed =
      this.writtenCount < this.linesPerSecond &&
      this.writtenDetailCount < this.linesPerSecond * DETAIL_SHARE;
    if (isAllowed) this.writtenDetailCount += 1;
    this.writeIf(isAllowed, decision, facts);
  }

  /**
   * Logs a periodic summary. Not rate-limited, since summaries are the only
   * complete record while decision lines are dropped.
   */
  logSummary(summary: string, facts: Record<string, unknown>): void {
    this.options.logger.info(facts, summary);
  }

  /**
   * Logs an event at level error, with the message of the error as its reason.
   * Not rate-limited.
   */
  logError(decision: string, error: Error, facts: object = {}): void {
    this.options.logger.error({...facts, reason: error.message}, decision);
  }

  private writeIf(
    isAllowed: boolean,
    decision: string,
    facts: Record<string, unknown>,
  ): void {
    if (!isAllowed) {
      this.omittedCount += 1;
      return;
    }
    this.writtenCount += 1;
    this.options.logger.info(facts, decision);
  }

  /** Reports the lines dropped in the last window, and starts the next one. */
  private beginWindowIfDue(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.windowStartMs < WINDOW_MS) return;
    if (this.omittedCount > 0) {
      this.options.logger.warn({omitted: this.omittedCount}, 'lines-omitted');
    }
    this.windowStartMs = nowMs;
    this.writtenCount = 0;
    this.writtenDetailCount = 0;
    this.omittedCount = 0;
  }
}
