import {Clock} from '../clock/clock.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {AdmissionPolicy, AdmissionResult} from './admission_policy.js';
import {ContractSource} from './contract_source.js';
import {TimingWheel} from './timing_wheel.js';
import {PauseDetector} from './pause_detector.js';
import {QueuedRequest, ServiceQueue} from './service_queue.js';
import {QueueLimits} from './queue_limits.js';
import {WaitingRequest} from './waiting_request.js';

/** Options of {@link FairQueueingPolicy}. */
export interface FairQueueingPolicyOptions {
  clock: Clock;
  contracts: ContractSource;
  /**
   * Number of live entries of the data centre, which share the limits.
   * @default 1
   */
  livingEntries?: () => number;
  /**
   * Fraction of the slots that is guaranteed to each urgency class, even if no
   * contract sets a floor, so that a flood of urgent requests cannot starve the
   * other classes.
   * @default 0.02
   */
  classFloor?: number;
}

/** Minimum retry delay in ms that a rejected caller is given. */
const MIN_RETRY_AFTER_MS = 10;

/** Maximum retry delay in ms; longer estimates are not meaningful. */
const MAX_RETRY_AFTER_MS = 60_000;

/**
 * Weighted fair queueing within the limits of the contracts. Classes and
 * customers below their floor (guaranteed fraction of the slots) are served
 * first; then classes by urgency, customers of a class by their share, and
 * callers of a customer equally.
 */
export class FairQueueingPolicy implements AdmissionPolicy {
  private readonly services = new Map<string, ServiceQueue>();
  private readonly waiting = new Map<string, QueuedRequest>();
  private readonly running = new Map<string, QueuedRequest>();
  private readonly deadlines: TimingWheel<QueuedRequest>;
  private readonly limits: QueueLimits;
  private readonly pauseDetector = new PauseDetector();
  private lastPause = {lengthMs: 0, endMs: -Infinity};
  private expired: WaitingRequest[] = [];

  constructor(private readonly options: FairQueueingPolicyOptions) {
    this.deadlines = new TimingWheel(options.clock.nowMs());
    this.limits = new QueueLimits(options.livingEntries ?? (() => 1));
  }

  offer(request: WaitingRequest): AdmissionResult {
    const nowMs = this.options.clock.nowMs();
    this.excludePause(this.pauseDetector.recordCall(nowMs));
    const {requestId, customer} = request;
    if (this.waiting.has(requestId) || this.running.has(requestId)) {
      throw new RangeError(
        `Cannot queue request ${requestId}: the ID is already in use`,
      );
    }
    const contract = this.options.contracts.contract(customer);
    if (!contract) {
      const reason = `customer "${customer}" has no contract`;
      const code = ResultCodes.FORBIDDEN;
      return {admitted: false, code, retryAfterMs: MAX_RETRY_AFTER_MS, reason};
    }
    const service = this.getOrCreateService(request.service);
    const refusal =
      this.checkQueueLimit(request, service) ??
      this.checkDeadline(request, service);
    if (refusal) return refusal;
    this.enqueue(service.add(request, contract, {atFront: false}));
    return {admitted: true};
  }

  requeue(request: WaitingRequest): void {
    const dequeued = this.running.get(request.requestId);
    if (!dequeued) return;
    const service = this.getOrCreateService(request.service);
    this.running.delete(request.requestId);
    service.recordEnd(dequeued, undefined);
    const contract = this.options.contracts.contract(request.customer);
    if (!contract || request.deadlineMs <= this.options.clock.nowMs()) {
      this.expired.push(request);
      return;
    }
    this.enqueue(service.add(request, contract, {atFront: true}));
  }

  dequeue(service: string): WaitingRequest | undefined {
    const queue = this.services.get(service);
    const nowMs = this.options.clock.nowMs();
    for (;;) {
      const queued = queue?.peek();
      if (!queue || !queued) return undefined;
      if (queued.deadlineMs <= nowMs) {
        queue.remove(queued);
        this.expire(queued);
        continue;
      }
      queue.dequeue(queued);
      this.removeFromIndexes(queued);
      this.running.set(queued.request.requestId, queued);
      return queued.request;
    }
  }

  removeExpired(): WaitingRequest[] {
    const nowMs = this.options.clock.nowMs();
    this.excludePause(this.pauseDetector.recordTimerTick(nowMs));
    for (const queued of this.deadlines.expiredItems(nowMs)) {
      this.services.get(queued.request.service)?.remove(queued);
      this.expire(queued);
    }
    const expired = this.expired;
    this.expired = [];
    return expired;
  }

  /** Excludes a pause of the process from the measured dequeue rates. */
  private excludePause(pauseMs: number): void {
    if (pauseMs === 0) return;
    this.lastPause = {lengthMs: pauseMs, endMs: this.options.clock.nowMs()};
    for (const service of this.services.values()) service.excludePause(pauseMs);
  }

  /** Run time of a request that ends now, less a pause that it overlapped. */
  private subtractPause(runTimeMs: number): number {
    const nowMs = this.options.clock.nowMs();
    this.excludePause(this.pauseDetector.recordCall(nowMs));
    const {lengthMs, endMs} = this.lastPause;
    const isAffected = nowMs - runTimeMs < endMs;
    return isAffected ? Math.max(0, runTimeMs - lengthMs) : runTimeMs;
  }

  cancel(requestId: string): boolean {
    const queued = this.waiting.get(requestId);
    if (!queued) return false;
    this.services.get(queued.request.service)?.remove(queued);
    this.removeFromIndexes(queued);
    return true;
  }

  recordCompletion(
    request: WaitingRequest,
    runTimeMs: number | undefined,
  ): void {
    const queued = this.running.get(request.requestId);
    if (!queued) return;
    this.running.delete(request.requestId);
    const activeRunTimeMs = runTimeMs && this.subtractPause(runTimeMs);
    this.services.get(request.service)?.recordEnd(queued, activeRunTimeMs);
  }

  waitingCount(service?: string): number {
    if (service === undefined) return this.waiting.size;
    return this.services.get(service)?.waiting ?? 0;
  }

  private getOrCreateService(name: string): ServiceQueue {
    let service = this.services.get(name);
    if (!service) {
      service = new ServiceQueue(this.options.classFloor ?? 0.02);
      this.services.set(name, service);
    }
    return service;
  }

  private checkQueueLimit(
    request: WaitingRequest,
    service: ServiceQueue,
  ): AdmissionResult | undefined {
    const contract = this.options.contracts.contract(request.customer)!;
    const reason = this.limits.refusalReason(request, contract);
    if (reason === undefined) return undefined;
    const nowMs = this.options.clock.nowMs();
    const drainMs = service.drainTimeMs(request, nowMs);
    return createRefusal('QUEUE_FULL', {retryAfterMs: drainMs, reason});
  }

  private checkDeadline(
    request: WaitingRequest,
    service: ServiceQueue,
  ): AdmissionResult | undefined {
    const nowMs = this.options.clock.nowMs();
    const remainingMs = request.deadlineMs - nowMs;
    const waitMs = service.expectedWaitMs(request, nowMs);
    const neededMs =
      waitMs === 0 ? 0 : waitMs + service.runTimeMs(request.urgency);
    if (remainingMs > 0 && neededMs <= remainingMs) return undefined;
    const reason = `${remainingMs.toFixed(0)} ms remain until the deadline; the expected wait is ${waitMs.toFixed(0)} ms`;
    const retryAfterMs = neededMs - Math.max(0, remainingMs);
    return createRefusal('DEADLINE_UNREACHABLE', {retryAfterMs, reason});
  }

  private enqueue(queued: QueuedRequest): void {
    this.waiting.set(queued.request.requestId, queued);
    this.deadlines.add(queued);
    this.limits.add(queued.request);
  }

  private expire(queued: QueuedRequest): void {
    this.removeFromIndexes(queued);
    this.expired.push(queued.request);
  }

  private removeFromIndexes(queued: QueuedRequest): void {
    this.waiting.delete(queued.request.requestId);
    this.deadlines.remove(queued);
    this.limits.remove(queued.request);
  }
}

function createRefusal(
  code: 'QUEUE_FULL' | 'DEADLINE_UNREACHABLE',
  options: {retryAfterMs: number; reason: string},
): AdmissionResult {
  const retryAfterMs = Math.ceil(
    Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, options.retryAfterMs),
    ),
  );
  const {reason} = options;
  return {admitted: false, code: ResultCodes[code], retryAfterMs, reason};
}
