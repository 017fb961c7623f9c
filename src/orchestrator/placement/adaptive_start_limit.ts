/** Time in ms within which a worker answers a start while the owner keeps up. */
const PROMPT_MS = 150;

/** Interval in ms at which the limit is adjusted. */
const INTERVAL_MS = 250;

/** Fewest answers in an interval that tell anything. */
const MIN_ANSWERS = 20;

/** Share of late answers above which the limit falls. */
const MANY_LATE = 0.5;

/** Share of late answers below which the limit rises. */
const FEW_LATE = 0.2;

/** Factors by which the limit falls and rises. */
const FALL = 0.8;
const RISE = 1.1;

/**
 * Limits the open starts of work that is not urgent by how promptly starts are
 * answered. An owner that sends more than its processor can serve answers none
 * sooner: the commands wait in its own queues, and urgent ones with them. One
 * slow worker, or a few, do not lower the limit.
 */
export class AdaptiveStartLimit {
  private currentLimit: number;
  private intervalStartMs = -Infinity;
  private answers = 0;
  private lateAnswers = 0;

  /**
   * @param range - Least and greatest limit; the greatest is the first.
   */
  constructor(private readonly range: {least: number; greatest: number}) {
    this.currentLimit = range.greatest;
  }

  /** Number of starts that may be open. */
  get limit(): number {
    return Math.round(this.currentLimit);
  }

  /**
   * Records the answer to a start.
   *
   * @param tookMs - Time in ms since the start was sent.
   */
  recordAnswer(tookMs: number, nowMs: number): void {
    this.answers += 1;
    if (tookMs > PROMPT_MS) this.lateAnswers += 1;
    if (nowMs - this.intervalStartMs < INTERVAL_MS) return;
    if (this.answers >= MIN_ANSWERS) this.adjust();
    this.intervalStartMs = nowMs;
    this.answers = 0;
    this.lateAnswers = 0;
  }

  private adjust(): void {
    const {least, greatest} = this.range;
    const lateShare = this.lateAnswers / this.answers;
    if (lateShare > MANY_LATE) this.currentLimit *= FALL;
    else if (lateShare < FEW_LATE) this.currentLimit *= RISE;
    this.currentLimit = Math.min(greatest, Math.max(least, this.currentLimit));
  }
}
