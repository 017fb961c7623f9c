import {AdviceOutcome, AdviceRequest} from './advice_port.js';
import {StepState} from './job_state.js';
import {WorkerState} from './worker_state.js';

/** What is known of one worker for one step. */
interface WorkerAdvice {
  /** Life of the worker that the answer is about. */
  incarnation: number;
  /** Permission to run the step; undefined if it may not. */
  ticket: string | undefined;
  validUntilMs: number;
}

/** Most workers in one question; the answer takes time for each of them. */
const MAX_WORKERS_PER_REQUEST = 30;

/** Time in ms before its end from which a ticket is renewed, not used. */
const TICKET_MARGIN_MS = 500;

/** Pause in ms after a question without an answer. */
const RETRY_MS = 400;

/**
 * Learns from the advice service which workers may run a step. Asks one
 * question at a time, since the service answers each VM in turn.
 */
export class StepAdvice {
  private readonly steps = new Map<string, Map<string, WorkerAdvice>>();
  /** Questions by step, in the order in which steps asked for workers. */
  private readonly pendingByStep = new Map<string, string[]>();
  private inFlight:
    {request: AdviceRequest; incarnations: number[]} | undefined;
  private retryAtMs = -Infinity;

  /** Returns the ticket for a worker; undefined if it has none that lasts. */
  ticketFor(
    step: StepState,
    worker: WorkerState,
    nowMs: number,
  ): string | undefined {
    const advice = this.steps
      .get(stepNameOf(step))
      ?.get(worker.registration.id);
    if (!advice || advice.incarnation !== worker.incarnation) return undefined;
    if (nowMs >= advice.validUntilMs - TICKET_MARGIN_MS) return undefined;
    return advice.ticket;
  }

  /** Notes that a step waits; workers that can take a task come first. */
  enqueue(step: StepState, workers: Iterable<WorkerState>): void {
    const known = this.steps.get(stepNameOf(step));
    const unknown: string[] = [];
    for (const {registration, incarnation} of workers) {
      const advice = known?.get(registration.id);
      const isDenied =
        advice?.incarnation === incarnation && advice.ticket === undefined;
      if (!isDenied) unknown.push(registration.id);
      if (unknown.length === MAX_WORKERS_PER_REQUEST) break;
    }
    if (unknown.length > 0) this.pendingByStep.set(stepNameOf(step), unknown);
  }

  /** Takes the next question, if none is under way. */
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

  /** Takes the answer to the question that is under way. */
  handleOutcome(outcome: AdviceOutcome, sentMs: number, nowMs: number): void {
    if (!this.inFlight) return;
    const {request, incarnations} = this.inFlight;
    this.inFlight = undefined;
    if (outcome.kind !== 'advice') {
      this.retryAtMs = nowMs + RETRY_MS;
      return;
    }
    const known =
      this.steps.get(request.step) ?? new Map<string, WorkerAdvice>();
    this.steps.set(request.step, known);
    request.workers.forEach((id, number) => {
      known.set(id, {
        incarnation: incarnations[number]!,
        ticket: outcome.tickets.get(id),
        validUntilMs: sentMs + outcome.validForMs,
      });
    });
  }

  /** Forgets a ticket that a worker has rejected. */
  invalidate(step: StepState, workerId: string): void {
    this.steps.get(stepNameOf(step))?.delete(workerId);
  }

  /** Forgets a step whose job has ended. */
  removeStep(step: StepState): void {
    this.steps.delete(stepNameOf(step));
    this.pendingByStep.delete(stepNameOf(step));
  }
}

function stepNameOf({tasks}: StepState): string {
  const {job, position} = tasks[0]!;
  return `${job.definition.id}.${position.occurrence}.${position.step}`;
}
