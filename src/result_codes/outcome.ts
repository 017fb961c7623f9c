/** Whether the work that a result code reports on was executed. */
export const Outcome = {
  RAN: 'ran',
  DID_NOT_RUN: 'did-not-run',
  MAY_HAVE_RUN: 'may-have-run',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
