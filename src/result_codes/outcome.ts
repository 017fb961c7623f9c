/** What a result code says about the work it belongs to. */
export const Outcome = {
  RAN: 'ran',
  DID_NOT_RUN: 'did-not-run',
  MAY_HAVE_RUN: 'may-have-run',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
