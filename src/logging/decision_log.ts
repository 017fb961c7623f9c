import {Logger} from 'pino';

import {ResultCode} from '../result_codes/result_code.js';

/** One routing or placement decision. */
export interface Decision {
  /** What was decided: 'route', 'admit', 'place', 'evict' and so on. */
  kind: string;
  /** Request, job or task that the decision is about. */
  subject: string;
  /** Chosen target, worker or action. @default none */
  chosen?: string;
  /** Why it was chosen. */
  reason: string;
  /** Candidates that were passed over, with the reason. @default none */
  passedOver?: ReadonlyArray<{candidate: string; reason: string}>;
  /** Result code of the decision. @default none */
  code?: ResultCode;
  /** Further facts. @default none */
  facts?: Record<string, unknown>;
}

/** Number of decisions kept in memory for `banyanmux why`. */
const MAX_SUBJECTS = 4096;

/** Writes one log line a decision and keeps the latest ones in memory. */
export class DecisionLog {
  private readonly decisionsBySubject = new Map<string, Decision[]>();

  constructor(private readonly logger: Logger) {}

  /** Writes the decision and remembers it under its subject. */
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

  /** Returns the remembered decisions about `subject`, oldest first. */
  decisionsAbout(subject: string): readonly Decision[] {
    return this.decisionsBySubject.get(subject) ?? [];
  }

  private evictOldestSubject(): void {
    const oldest = this.decisionsBySubject.keys().next();
    if (!oldest.done) this.decisionsBySubject.delete(oldest.value);
  }
}
