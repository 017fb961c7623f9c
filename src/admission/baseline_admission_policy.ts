import {Clock} from '../clock/clock.js';
import {Urgency, URGENCIES} from '../contracts/urgency.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {AdmissionPolicy, AdmissionResult} from './admission_policy.js';
import {ContractSource} from './contract_source.js';
import {LinkedItem, LinkedQueue} from './linked_queue.js';
import {QueueLimits} from './queue_limits.js';
import {WaitingRequest} from './waiting_request.js';

/** Options of {@link BaselineAdmissionPolicy}. */
export interface BaselineAdmissionPolicyOptions {
  clock: Clock;
  contracts: ContractSource;
  order: 'first-in-first-out' | 'strict-priority';
}

interface QueuedItem extends LinkedItem<QueuedItem> {
  request: WaitingRequest;
  queue: LinkedQueue<QueuedItem>;
}

/** Retry delay in ms that a rejected caller is given. */
const RETRY_AFTER_MS = 100;

/**
 * Baseline for measurements: one FIFO queue per service, or one per urgency
 * class in strict priority order. Applies `maxWaiting` of the contract per
 * customer and class, without limits per caller and without deadline checks.
 */
export class BaselineAdmissionPolicy implements AdmissionPolicy {
  private readonly queues = new Map<string, LinkedQueue<QueuedItem>>();
  private readonly waiting = new Map<string, QueuedItem>();
  private readonly counts = new Map<string, number>();
  private readonly limits = new QueueLimits(() => 1);
  private expired: WaitingRequest[] = [];

  constructor(private readonly options: BaselineAdmissionPolicyOptions) {}

  offer(request: WaitingRequest): AdmissionResult {
    const contract = this.options.contracts.contract(request.customer);
    const key = `${request.customer}/${request.urgency}`;
    const count = this.counts.get(key) ?? 0;
    if (!contract || count >= this.limits.limit(contract, request.urgency)) {
      const code = ResultCodes.QUEUE_FULL;
      const reason = `${count} requests of the customer and class are already waiting`;
      return {admitted: false, code, retryAfterMs: RETRY_AFTER_MS, reason};
    }
    this.counts.set(key, count + 1);
    const queue = this.getOrCreateQueue(request);
    const item = {request, queue, previous: undefined, next: undefined};
    queue.push(item);
    this.waiting.set(request.requestId, item);
    return {admitted: true};
  }

  dequeue(service: string): WaitingRequest | undefined {
    const nowMs = this.options.clock.nowMs();
    for (const urgency of URGENCIES) {
      const queue = this.queues.get(this.queueName(service, urgency));
      for (let item = queue?.peek(); item; item = queue?.peek()) {
        this.remove(item);
        if (item.request.deadlineMs > nowMs) return item.request;
        this.expired.push(item.request);
      }
    }
    return undefined;
  }

  requeue(request: WaitingRequest): void {
    const key = `${request.customer}/${request.urgency}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    const queue = this.getOrCreateQueue(request);
    const item = {request, queue, previous: undefined, next: undefined};
    queue.pushFront(item);
    this.waiting.set(request.requestId, item);
  }

  removeExpired(): WaitingRequest[] {
    const nowMs = this.options.clock.nowMs();
    // A linear scan is acceptable, because this policy runs in measurements
    // only.
    for (const item of this.waiting.values()) {
      if (item.request.deadlineMs > nowMs) continue;
      this.remove(item);
      this.expired.push(item.request);
    }
    const expired = this.expired;
    this.expired = [];
    return expired;
  }

  cancel(requestId: string): boolean {
    const item = this.waiting.get(requestId);
    if (item) this.remove(item);
    return item !== undefined;
  }

  recordCompletion(): void {
    // The order of service depends on arrivals only.
  }

  waitingCount(service?: string): number {
    if (service === undefined) return this.waiting.size;
    const names = URGENCIES.map((urgency) => this.queueName(service, urgency));
    return [...new Set(names)]
      .map((name) => this.queues.get(name)?.size ?? 0)
      .reduce((sum, size) => sum + size, 0);
  }

  private remove(item: QueuedItem): void {
    const {request, queue} = item;
    queue.remove(item);
    this.waiting.delete(request.requestId);
    const key = `${request.customer}/${request.urgency}`;
    this.counts.set(key, (this.counts.get(key) ?? 1) - 1);
  }

  private queueName(service: string, urgency: Urgency): string {
    const isStrict = this.options.order === 'strict-priority';
    return isStrict ? `${service}/${urgency}` : service;
  }

  private getOrCreateQueue(request: WaitingRequest): LinkedQueue<QueuedItem> {
    const name = this.queueName(request.service, request.urgency);
    let queue = this.queues.get(name);
    if (!queue) {
      queue = new LinkedQueue();
      this.queues.set(name, queue);
    }
    return queue;
  }
}
