/** Number of refused starts after which a task is placed again at once. */
const IMMEDIATE_RESTARTS = 3;

/** First delay in ms after further refusals; it doubles with each. */
const FIRST_DELAY_MS = 50;

/** Maximum delay in ms after a refused start. */
const MAX_DELAY_MS = 1000;

/** Crashes of its workers after which a long-running task restarts at once. */
const IMMEDIATE_CRASH_RESTARTS = 2;

/** First pause in ms after further crashes; it doubles with each. */
const FIRST_CRASH_PAUSE_MS = 500;

/** Maximum pause in ms after a crash: its users must not wait for longer. */
const MAX_CRASH_PAUSE_MS = 4000;

/**
 * Returns the time in ms for which a long-running task is not placed again after
 * a number of worker crashes that it may have caused.
 */
export function crashPauseMs(crashes: number): number {
  const doublings = crashes - IMMEDIATE_CRASH_RESTARTS;
  if (doublings <= 0) return 0;
  return Math.min(
    FIRST_CRASH_PAUSE_MS * 2 ** (doublings - 1),
    MAX_CRASH_PAUSE_MS,
  );
}

/**
 * Returns the time in ms for which a task is not placed again after a number of
 * refused starts in a row.
 */
export function restartDelayMs(refusals: number): number {
  const doublings = refusals - IMMEDIATE_RESTARTS;
  if (doublings <= 0) return 0;
  return Math.min(FIRST_DELAY_MS * 2 ** (doublings - 1), MAX_DELAY_MS);
}
