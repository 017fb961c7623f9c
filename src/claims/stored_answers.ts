import {Clock} from '../clock/clock.js';

/** Options of {@link StoredAnswers}. */
export interface StoredAnswersOptions {
  clock: Clock;
  /** Maximum size in bytes of a stored response. @default 65536 */
  maxAnswerBytes?: number;
  /** Maximum total size in bytes of all responses. @default 33554432 */
  maxTotalBytes?: number;
  /** Time in ms for which a response is stored. @default 600000 */
  retentionMs?: number;
}

/** Response to a request with an idempotency key. */
export interface StoredAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

interface CachedAnswer {
  answer: StoredAnswer;
  expiresAtMs: number;
}

/** Cache of complete responses, replayed for retries with the same key. */
export class StoredAnswers {
  /** Ordered by expiry, because the retention time is constant. */
  private readonly cache = new Map<string, CachedAnswer>();
  private totalBytes = 0;

  constructor(private readonly options: StoredAnswersOptions) {}

  /** Stores the response of a claim attempt, unless it is too large. */
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

  /** Returns the response of a claim attempt, if it is stored. */
  get(attempt: string): StoredAnswer | undefined {
    this.evictExpired();
    return this.cache.get(attempt)?.answer;
  }

  /** Evicts expired responses, and the oldest while the total is too large. */
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
