/** Durations of the runs of one step that have ended and were not limited. */
export class StepRunTimes {
  count = 0;
  /** Longest duration in ms; 0 before the first. */
  longestMs = 0;
  /** Mean of the natural logarithms of the durations in ms. */
  meanLogarithm = 0;

  /**
   * Adds a duration in ms.
   *
   * @returns The squared distance of its logarithm from that of the others,
   *     unbiased for their variance; undefined for the first.
   */
  add(tookMs: number): number | undefined {
    const logarithm = Math.log(tookMs);
    const distance = logarithm - this.meanLogarithm;
    const spread =
      this.count === 0
        ? undefined
        : (distance ** 2 * this.count) / (this.count + 1);
    this.count += 1;
    this.meanLogarithm += distance / this.count;
    this.longestMs = Math.max(this.longestMs, tookMs);
    return spread;
  }
}
