import {createServer} from 'node:http';

import {readJson, writeJson} from '../../testing/stand_in_http.js';

/** `decisionMs`, `periodMs` and `validityMs` of a queue with advice. */
export const ADVICE = {decisionMs: 20, periodMs: 2, validityMs: 8000};

/** Stand-in of the service that knows which executors may run a step. */
export class Advice {
  private readonly tickets = new Map<string, {text: string; untilMs: number}>();
  private previous: Promise<void> = Promise.resolve();
  private readonly server = createServer((request, response) => {
    void readJson(request).then(async (body) => {
      const {step, workers} = body as {step: string; workers: string[]};
      const before = this.previous;
      this.previous = before.then(() => decide(workers.length));
      await this.previous;
      const allowed = workers
        .filter((worker) => this.options.isAllowed(step, worker))
        .map((worker) => [worker, this.issue(step, worker)]);
      this.options.record('advised', {step, workers: workers.length, allowed});
      const {validityMs} = ADVICE;
      writeJson(response, 200, {allowed, validityMs});
    });
  });

  constructor(
    private readonly options: {
      isAllowed: (step: string, executor: string) => boolean;
      record: (event: string, details: Record<string, unknown>) => void;
    },
  ) {}

  /** Starts to listen on 127.0.0.1. */
  listen(port: number): Promise<void> {
    return new Promise((resolve) =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Returns the ticket that a start needs; one that nobody has if none. */
  ticketOf(step: string, executor: string): string {
    const ticket = this.tickets.get(`${step} ${executor}`);
    const isValid = ticket !== undefined && ticket.untilMs > performance.now();
    return isValid ? ticket.text : 'none';
  }

  private issue(step: string, executor: string): string {
    const text = `ticket-${step}-${executor}`;
    const untilMs = performance.now() + ADVICE.validityMs;
    this.tickets.set(`${step} ${executor}`, {text, untilMs});
    return text;
  }
}

function decide(executors: number): Promise<void> {
  const {decisionMs, periodMs} = ADVICE;
  return new Promise((resolve) =>
    setTimeout(resolve, decisionMs + periodMs * executors),
  );
}
