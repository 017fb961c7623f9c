import {Clock} from '../clock/clock.js';

/** Options of {@link StoredAnswers}. */
export interface StoredAnswersOptions {
  clock: Clock;
  /** Largest answer in bytes that is kept. @default 65536 */
  maxAnswerBytes?: number;
  /** Bytes that all answers may take. @default 33554432 */
  maxTotalBytes?: number;
  /** Time in ms for which an answer is kept. @default 600000 */
  retentionMs?: number;
}

/** An answer to a request with a key. */
export interface StoredAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

interface CachedAnswer {
  answer: StoredAnswer;
  expiresAtMs: number;
}

/** Whole answers of claimed requests, for repeats with the same key. */
export class StoredAnswers {
  /** In the order of expiry, because each is kept for the same time. */
  private readonly cache = new Map<string, CachedAnswer>();
  private totalBytes = 0;

  constructor(private readonly options: StoredAnswersOptions) {}

  /** Keeps the answer of a claim unless it is too large. */
  put(attempt: string, answer: StoredAnswer): void {
    const {
      clock,
      maxAnswerBytes = 65_536,
      retentionMs = 600_000,
    } = this.options;
    if (answer.body.length > maxAnswerBytes || this.cache.has(attempt)) return;
    const expiresAtMs = clock.nowMs() + retentionMs;
    this.cache.set(attempt, {answer, expiresAtMs});
    this.totalBytes += answer.body.length;
    this.evictExpired();
  }

  /** Returns the answer of a claim. */
  get(attempt: string): StoredAnswer | undefined {
    this.evictExpired();
    return this.cache.get(attempt)?.answer;
  }

  private evictExpired(): void {
    const {clock, maxTotalBytes = 33_554_432} = this.options;
    const nowMs = clock.nowMs();
    for (const [attempt, {answer, expiresAtMs}] of this.cache) {
      if (expiresAtMs > nowMs && this.totalBytes <= maxTotalBytes) return;
      this.cache.delete(attempt);
      this.totalBytes -= answer.body.length;
    }
  }
}
