/** Source of pseudo-random numbers; seeded, so that runs are reproducible. */
export interface RandomSource {
  /** Returns a uniformly distributed number in [0, 1). */
  next(): number;
  /** Returns a uniformly distributed integer in [0, limit). */
  nextInteger(limit: number): number;
}
