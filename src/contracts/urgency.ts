/** Urgency classes, most urgent first. */
export const Urgency = {
  URGENT: 'urgent',
  STANDARD: 'standard',
  BATCH: 'batch',
} as const;

/** One of the values of {@link Urgency}. */
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** All classes, most urgent first. */
export const URGENCIES: readonly Urgency[] = [
  Urgency.URGENT,
  Urgency.STANDARD,
  Urgency.BATCH,
];
