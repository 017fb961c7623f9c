/** Source of the current time in ms; injected so that tests can control it. */
export interface Clock {
  /** Monotonic time in ms; never jumps. Comparable only within one process. */
  nowMs(): number;
  /** Wall-clock time in ms since the Unix epoch. */
  wallMs(): number;
}
