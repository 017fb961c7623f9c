import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';

/** Options of {@link NodeLog}. */
export interface NodeLogOptions {
  logger: Logger;
  clock: Clock;
  /** Lines a second that are written; more are counted. @default 400 */
  linesPerSecond?: number;
}

const WINDOW_MS = 1000;

/**
 * Writes one line a decision, within a budget of lines a second. Lines over the
 * budget are left out and counted, so that logging stays bounded under load.
 */
export class NodeLog {
  private windowStartMs = -Infinity;
  private writtenCount = 0;
  private omittedCount = 0;
  private readonly linesPerSecond: number;

  constructor(private readonly options: NodeLogOptions) {
    this.linesPerSecond = options.linesPerSecond ?? 400;
  }

  /**
   * Writes a decision.
   *
   * @param decision - What was decided, for example 'place'.
   * @param facts - Inputs with their age or version, and the outcome.
   */
  decide(decision: string, facts: Record<string, unknown> = {}): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.windowStartMs >= WINDOW_MS) this.startWindow(nowMs);
    if (this.writtenCount >= this.linesPerSecond) {
      this.omittedCount += 1;
      return;
    }
    this.writtenCount += 1;
    this.options.logger.info(facts, decision);
  }

  /**
   * Writes a line at a fixed interval; never left out, since it is what remains
   * readable when decisions are over the budget.
   */
  summarize(summary: string, facts: Record<string, unknown>): void {
    this.options.logger.info(facts, summary);
  }

  /** Writes an error; never left out. */
  fail(decision: string, error: Error, facts: object = {}): void {
    this.options.logger.error({...facts, reason: error.message}, decision);
  }

  private startWindow(nowMs: number): void {
    if (this.omittedCount > 0) {
      this.options.logger.warn({omitted: this.omittedCount}, 'lines-omitted');
    }
    this.windowStartMs = nowMs;
    this.writtenCount = 0;
    this.omittedCount = 0;
  }
}
