/** Timings of the protocol between the owner of a shard and its workers. */
export interface ShardTimings {
  /** Duration of a task's lease on the worker's clock, in ms. */
  leaseMs: number;
  /** Factor on lease durations for the drift between two clocks. */
  clockRateMargin: number;
  /** Allowance for the worker's delay in ending an expired lease, in ms. */
  leaseSlackMs: number;
  /** Interval between two lease renewals, in ms. */
  renewMs: number;
  /** Time in ms after the latest clock reading until a start is refused. */
  startWindowMs: number;
  /** Maximum age in ms of the clock reading of a worker that gets new tasks. */
  maxReadingAgeMs: number;
  /** Delay before a failed command or confirmation is retried, in ms. */
  retryMs: number;
}

/** Default timings, as in section 3.2 of the design. */
export const SHARD_TIMINGS: ShardTimings = {
  leaseMs: 15_000,
  clockRateMargin: 1.02,
  leaseSlackMs: 250,
  renewMs: 4000,
  startWindowMs: 8000,
  maxReadingAgeMs: 6000,
  retryMs: 500,
};
