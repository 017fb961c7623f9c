import {AdviceOutcome, AdviceQuestion} from './advice_port.js';
import {StepState} from './job_state.js';
import {WorkerState} from './worker_state.js';

/** What is known of one worker for one step. */
interface WorkerAdvice {
  /** Life of the worker that the answer is about. */
  life: number;
  /** Permission to run the step; undefined if it may not. */
  ticket: string | undefined;
  validUntilMs: number;
}

/** Most workers in one question; the answer takes time for each of them. */
const MOST_WORKERS = 30;

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
  private readonly needs = new Map<string, string[]>();
  private asked: {question: AdviceQuestion; lives: number[]} | undefined;
  private quietUntilMs = -Infinity;

  /** Returns the ticket for a worker; undefined if it has none that lasts. */
  ticketFor(
    step: StepState,
    worker: WorkerState,
    nowMs: number,
  ): string | undefined {
    const advice = this.steps.get(nameOf(step))?.get(worker.entry.id);
    if (!advice || advice.life !== worker.life) return undefined;
    if (nowMs >= advice.validUntilMs - TICKET_MARGIN_MS) return undefined;
    return advice.ticket;
  }

  /** Notes that a step waits; workers that can take a task come first. */
  need(step: StepState, workers: Iterable<WorkerState>): void {
    const known = this.steps.get(nameOf(step));
    const unknown: string[] = [];
    for (const {entry, life} of workers) {
      const advice = known?.get(entry.id);
      const isDenied = advice?.life === life && advice.ticket === undefined;
      if (!isDenied) unknown.push(entry.id);
      if (unknown.length === MOST_WORKERS) break;
    }
    if (unknown.length > 0) this.needs.set(nameOf(step), unknown);
  }

  /** Takes the next question, if none is under way. */
  nextQuestion(
    lifeOf: (workerId: string) => number,
    nowMs: number,
  ): AdviceQuestion | undefined {
    if (this.asked || nowMs < this.quietUntilMs) return undefined;
    const [need] = this.needs;
    if (!need) return undefined;
    const [step, workers] = need;
    this.needs.delete(step);
    const question = {step, workers};
    this.asked = {question, lives: workers.map(lifeOf)};
    return question;
  }

  /** Takes the answer to the question that is under way. */
  answer(outcome: AdviceOutcome, sentMs: number, nowMs: number): void {
    if (!this.asked) return;
    const {question, lives} = this.asked;
    this.asked = undefined;
    if (outcome.kind !== 'advice') {
      this.quietUntilMs = nowMs + RETRY_MS;
      return;
    }
    const known =
      this.steps.get(question.step) ?? new Map<string, WorkerAdvice>();
    this.steps.set(question.step, known);
    question.workers.forEach((id, number) => {
      known.set(id, {
        life: lives[number]!,
        ticket: outcome.tickets.get(id),
        validUntilMs: sentMs + outcome.validForMs,
      });
    });
  }

  /** Forgets a ticket that a worker has rejected. */
  reject(step: StepState, workerId: string): void {
    this.steps.get(nameOf(step))?.delete(workerId);
  }

  /** Forgets a step whose job has ended. */
  forget(step: StepState): void {
    this.steps.delete(nameOf(step));
    this.needs.delete(nameOf(step));
  }
}

function nameOf({tasks}: StepState): string {
  const {job, position} = tasks[0]!;
  return `${job.definition.id}.${position.occurrence}.${position.step}`;
}
