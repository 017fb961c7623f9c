/** Source of random numbers; seeded, so that a run can be repeated. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns a whole number in [0, limit). */
  nextInteger(limit: number): number;
}
