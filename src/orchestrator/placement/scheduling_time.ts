/** Time of one scheduling pass. */
export interface SchedulingTime {
  /** Monotonic time in ms. */
  nowMs: number;
  /** Unix time in ms. */
  wallMs: number;
}
