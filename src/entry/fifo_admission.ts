import {
  AdmissionPolicy,
  AdmissionResult,
} from '../admission/admission_policy.js';
import {WaitingRequest} from '../admission/waiting_request.js';
import {Clock} from '../clock/clock.js';
import {ResultCodes} from '../result_codes/result_code.js';

/** Options of {@link FifoAdmission}. */
export interface FifoAdmissionOptions {
  /** Requests that may wait. @default 1000 */
  maxWaiting?: number;
}

const RETRY_AFTER_MS = 1000;

/** First in, first out; serves as the baseline of the fair policies. */
export class FifoAdmission implements AdmissionPolicy {
  private readonly waiting = new Map<string, WaitingRequest>();

  constructor(
    private readonly clock: Clock,
    private readonly options: FifoAdmissionOptions = {},
  ) {}

  offer(request: WaitingRequest): AdmissionResult {
    if (this.waiting.size >= (this.options.maxWaiting ?? 1000)) {
      return {
        admitted: false,
        code: ResultCodes.QUEUE_FULL,
        retryAfterMs: RETRY_AFTER_MS,
        reason: `${this.waiting.size} requests wait`,
      };
    }
    this.waiting.set(request.requestId, request);
    return {admitted: true};
  }

  take(service: string): WaitingRequest | undefined {
    const nowMs = this.clock.nowMs();
    for (const request of this.waiting.values()) {
      if (request.service !== service || request.deadlineMs <= nowMs) continue;
      this.waiting.delete(request.requestId);
      return request;
    }
    return undefined;
  }

  putBack(request: WaitingRequest): void {
    const others = [...this.waiting];
    this.waiting.clear();
    this.waiting.set(request.requestId, request);
    for (const [requestId, other] of others) this.waiting.set(requestId, other);
  }

  takeExpired(): WaitingRequest[] {
    const nowMs = this.clock.nowMs();
    const expired = [...this.waiting.values()].filter(
      (request) => request.deadlineMs <= nowMs,
    );
    for (const request of expired) this.waiting.delete(request.requestId);
    return expired;
  }

  cancel(requestId: string): boolean {
    return this.waiting.delete(requestId);
  }

  completed(): void {}

  waitingCount(service?: string): number {
    if (service === undefined) return this.waiting.size;
    return [...this.waiting.values()].filter(
      (request) => request.service === service,
    ).length;
  }
}
