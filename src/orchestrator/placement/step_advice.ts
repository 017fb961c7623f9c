import {AdviceOutcome, AdviceRequest} from '../workers/advice_port.js';
import {StepState} from '../jobs/job_state.js';
import {WorkerState} from '../workers/worker_state.js';

/** Advice about one worker for one step. */
interface WorkerAdvice {
  /** Incarnation of the worker that the advice applies to. */
  incarnation: number;
  /** Ticket to run the step; undefined if the worker may not run it. */
  ticket: string | undefined;
  /** Time in ms from which the ticket is renewed, not used. */
  usableUntilMs: number;
}

/** Maximum workers per request; the service takes time for each of them. */
const MAX_WORKERS_PER_REQUEST = 30;

/** Time in ms before its expiry from which a ticket is renewed, not used. */
const TICKET_MARGIN_MS = 500;

/** Upper bound of that margin as a share of the validity. */
const MAX_MARGIN_SHARE = 0.25;

/** Time in ms after which a failed request names fewer workers the next time. */
const SLOW_REQUEST_MS = 1000;

/** Delay in ms before the next request after a failed one. */
const RETRY_MS = 400;

/**
 * Caches which workers may run a step according to the advice service. Sends
 * one request at a time, because the service handles one call per VM at a time.
 */
export class StepAdvice {
  private readonly steps = new Map<string, Map<string, WorkerAdvice>>();
  /** Workers of the next request by step, in the order of queueing. */
  private readonly pendingByStep = new Map<string, string[]>();
  private inFlight:
    {request: AdviceRequest; incarnations: number[]} | undefined;
  private retryAtMs = -Infinity;
  /** Lower than the maximum while the service answers too slowly for it. */
  private workersPerRequest = MAX_WORKERS_PER_REQUEST;

  /** Returns the ticket of a worker; undefined if none is valid long enough. */
  ticketFor(
    step: StepState,
    worker: WorkerState,
    nowMs: number,
  ): string | undefined {
    const advice = this.steps.get(step.name)?.get(worker.registration.id);
    if (!advice || advice.incarnation !== worker.incarnation) return undefined;
    return nowMs < advice.usableUntilMs ? advice.ticket : undefined;
  }

  /**
   * Queues a request for a step that waits.
   *
   * @param workers - Workers in order of preference. Those that were
   *     denied in their current incarnation are left out.
   */
  enqueue(step: StepState, workers: Iterable<WorkerState>): void {
    const known = this.steps.get(step.name);
    const unknown: string[] = [];
    for (const {registration, incarnation} of workers) {
      const advice = known?.get(registration.id);
      const isDenied =
        advice?.incarnation === incarnation && advice.ticket === undefined;
      if (!isDenied) unknown.push(registration.id);
      if (unknown.length === this.workersPerRequest) break;
    }
    if (unknown.length > 0) this.pendingByStep.set(step.name, unknown);
  }

  /**
   * Dequeues the next request and marks it as in progress; undefined while
   * another one is in progress, or delayed after a failure.
   */
  nextRequest(
    incarnationOf: (workerId: string) => number,
    nowMs: number,
  ): AdviceRequest | undefined {
    if (this.inFlight || nowMs < this.retryAtMs) return undefined;
    const [next] = this.pendingByStep;
    if (!next) return undefined;
    const [step, workers] = next;
    this.pendingByStep.delete(step);
    const request = {step, workers};
    this.inFlight = {request, incarnations: workers.map(incarnationOf)};
    return request;
  }

  /** Records the outcome of the request in progress. */
  handleOutcome(outcome: AdviceOutcome, sentMs: number, nowMs: number): void {
    if (!this.inFlight) return;
    const {request, incarnations} = this.inFlight;
    this.inFlight = undefined;
    const size = request.workers.length;
    if (outcome.kind !== 'advice') {
      this.retryAtMs = nowMs + RETRY_MS;
      if (nowMs - sentMs >= SLOW_REQUEST_MS) this.limitRequests(size / 2);
      return;
    }
    const {validForMs} = outcome;
    const marginMs = Math.min(TICKET_MARGIN_MS, validForMs * MAX_MARGIN_SHARE);
    const usableMs = validForMs - marginMs;
    const usableUntilMs = sentMs + usableMs;
    if (nowMs >= usableUntilMs) this.limitRequests(size / 2);
    else if (nowMs - sentMs < usableMs / 4) {
      this.limitRequests(Math.max(this.workersPerRequest, size * 2));
    }
    const known =
      this.steps.get(request.step) ?? new Map<string, WorkerAdvice>();
    this.steps.set(request.step, known);
    request.workers.forEach((id, number) => {
      known.set(id, {
        incarnation: incarnations[number]!,
        ticket: outcome.tickets.get(id),
        usableUntilMs,
      });
    });
  }

  /** Changes how many workers a request names; each takes the service time. */
  private limitRequests(size: number): void {
    const wanted = Math.max(1, Math.floor(size));
    this.workersPerRequest = Math.min(MAX_WORKERS_PER_REQUEST, wanted);
  }

  /** Discards the ticket of a worker that has rejected it. */
  invalidate(step: StepState, workerId: string): void {
    this.steps.get(step.name)?.delete(workerId);
  }

  /** Removes the state of a step whose job has ended. */
  removeStep(step: StepState): void {
    this.steps.delete(step.name);
    this.pendingByStep.delete(step.name);
  }
}
