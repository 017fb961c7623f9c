import {Clock} from '../clock/clock.js';

/** Options of {@link StoredAnswers}. */
export interface StoredAnswersOptions {
  clock: Clock;
  /** Largest answer in bytes that is kept. @default 65536 */
  maxAnswerBytes?: number;
  /** Bytes that all answers may take. @default 33554432 */
  maxTotalBytes?: number;
  /** Time in ms for which an answer is kept. @default 600000 */
  keepMs?: number;
}

/** An answer to a request with a key. */
export interface StoredAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

interface Kept {
  answer: StoredAnswer;
  expiresAtMs: number;
}

/** Whole answers of claimed requests, for repeats with the same key. */
export class StoredAnswers {
  /** In the order of expiry, because each is kept for the same time. */
  private readonly kept = new Map<string, Kept>();
  private totalBytes = 0;

  constructor(private readonly options: StoredAnswersOptions) {}

  /** Keeps the answer of a claim unless it is too large. */
  put(attempt: string, answer: StoredAnswer): void {
    const {clock, maxAnswerBytes = 65_536, keepMs = 600_000} = this.options;
    if (answer.body.length > maxAnswerBytes || this.kept.has(attempt)) return;
    const expiresAtMs = clock.nowMs() + keepMs;
    this.kept.set(attempt, {answer, expiresAtMs});
    this.totalBytes += answer.body.length;
    this.dropOld();
  }

  /** Returns the answer of a claim. */
  get(attempt: string): StoredAnswer | undefined {
    this.dropOld();
    return this.kept.get(attempt)?.answer;
  }

  private dropOld(): void {
    const {clock, maxTotalBytes = 33_554_432} = this.options;
    const nowMs = clock.nowMs();
    for (const [attempt, {answer, expiresAtMs}] of this.kept) {
      if (expiresAtMs > nowMs && this.totalBytes <= maxTotalBytes) return;
      this.kept.delete(attempt);
      this.totalBytes -= answer.body.length;
    }
  }
}
