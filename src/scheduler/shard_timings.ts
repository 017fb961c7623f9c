/** Durations of the protocol between a shard's owner and its workers. */
export interface ShardTimings {
  /** Length of a task's lease in the worker's clock, in ms. */
  leaseMs: number;
  /** Factor that covers the difference between two clocks. */
  clockRateMargin: number;
  /** Added to the end of a lease for the worker's own delay, in ms. */
  leaseSlackMs: number;
  /** Time in ms between two renewals. */
  renewMs: number;
  /** A start is refused this long after the reading it was computed from. */
  startWindowMs: number;
  /** A worker gets new work only if its latest answer is younger, in ms. */
  maxReadingAgeMs: number;
  /** Time in ms until a failed read-back or confirmation is repeated. */
  retryMs: number;
}

/** Timings of section 3.2 of the design. */
export const SHARD_TIMINGS: ShardTimings = {
  leaseMs: 15_000,
  clockRateMargin: 1.02,
  leaseSlackMs: 250,
  renewMs: 4000,
  startWindowMs: 8000,
  maxReadingAgeMs: 6000,
  retryMs: 500,
};
