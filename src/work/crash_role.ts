/** How likely it is that a task crashed its worker. */
export const CrashRole = {
  /** The only likely cause. */
  CAUSE: 'cause',
  /** One of several possible causes. */
  SUSPECT: 'suspect',
  /** A more likely cause was on the same worker. */
  BYSTANDER: 'bystander',
} as const;

/** One of the values of {@link CrashRole}. */
export type CrashRole = (typeof CrashRole)[keyof typeof CrashRole];
