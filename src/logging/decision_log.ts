import {Logger} from 'pino';

import {ResultCode} from '../result_codes/result_code.js';

/** One routing or placement decision. */
export interface Decision {
  /** Kind of decision, such as 'route', 'admit', 'place' or 'evict'. */
  kind: string;
  /** ID of the request, job or task that the decision is about. */
  subject: string;
  /** Chosen target, worker or action. @default none */
  chosen?: string;
  /** Reason for the decision. */
  reason: string;
  /** Candidates that were not chosen, with the reasons. @default none */
  passedOver?: ReadonlyArray<{candidate: string; reason: string}>;
  /** Result code of the decision. @default none */
  code?: ResultCode;
  /** Additional fields of the log line. @default none */
  facts?: Record<string, unknown>;
}

/** Largest number of subjects whose decisions are kept for `banyanmux why`. */
const MAX_SUBJECTS = 4096;

/** Logs each decision and keeps those about recent subjects in memory. */
export class DecisionLog {
  private readonly decisionsBySubject = new Map<string, Decision[]>();

  constructor(private readonly logger: Logger) {}

  /** Logs a decision and stores it under its subject. */
  record(decision: Decision): void {
    this.logger.info(
      {
        decision: decision.kind,
        subject: decision.subject,
        chosen: decision.chosen,
        reason: decision.reason,
        passedOver: decision.passedOver,
        code: decision.code?.number,
        ...decision.facts,
      },
      'decision',
    );
    const earlier = this.decisionsBySubject.get(decision.subject);
    if (earlier) {
      earlier.push(decision);
      return;
    }
    this.decisionsBySubject.set(decision.subject, [decision]);
    if (this.decisionsBySubject.size > MAX_SUBJECTS) this.evictOldestSubject();
  }

  /** Returns the recorded decisions about `subject`, oldest first. */
  getDecisions(subject: string): readonly Decision[] {
    return this.decisionsBySubject.get(subject) ?? [];
  }

  private evictOldestSubject(): void {
    const oldest = this.decisionsBySubject.keys().next();
    if (!oldest.done) this.decisionsBySubject.delete(oldest.value);
  }
}
