/** Source of time in milliseconds; injected wherever code measures or waits. */
export interface Clock {
  /** Monotonic time in ms. Never jumps; comparable only within one process. */
  nowMs(): number;
  /** Wall-clock time in ms since the Unix epoch. */
  wallMs(): number;
}
