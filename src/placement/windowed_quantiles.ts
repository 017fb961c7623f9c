import {build, Histogram} from 'hdr-histogram-js';

/** Options of {@link WindowedQuantiles}. */
export interface WindowedQuantilesOptions {
  /** Samples per generation; a full one replaces the older. @default 200 */
  generationSamples?: number;
}

const PERCENT = 100;

/**
 * Quantiles of recent samples. Keeps two generations of histograms: when the
 * newer one is full, the older one is dropped. The quantiles thus follow a
 * shift of the distribution in bounded memory.
 */
export class WindowedQuantiles {
  private current = createHistogram();
  private previous: Histogram | undefined;
  /**
   * Cached quantiles by level, because a histogram search costs more than a
   * placement decision.
   */
  private readonly known = new Map<number, number>();
  private readonly generationSamples: number;

  constructor(options: WindowedQuantilesOptions = {}) {
    this.generationSamples = options.generationSamples ?? 200;
  }

  /** Number of samples in both generations. */
  get count(): number {
    return this.current.totalCount + (this.previous?.totalCount ?? 0);
  }

  /** Adds a sample, rounded to an integer; negative values count as 0. */
  add(value: number): void {
    if (this.current.totalCount >= this.generationSamples) {
      this.previous = this.current;
      this.current = createHistogram();
    }
    this.current.recordValue(Math.max(0, Math.round(value)));
    this.known.clear();
  }

  /** Returns the estimated value at `quantile`, which ranges from 0 to 1. */
  quantile(quantile: number): number {
    let value = this.known.get(quantile);
    if (value === undefined) {
      value = this.calculate(quantile);
      this.known.set(quantile, value);
    }
    return value;
  }

  private calculate(quantile: number): number {
    const percent = quantile * PERCENT;
    const newer = this.current.getValueAtPercentile(percent);
    if (!this.previous) return newer;
    const older = this.previous.getValueAtPercentile(percent);
    // Averages the generations weighted by their counts, because merging the
    // histograms would require a copy.
    const newerCount = this.current.totalCount;
    const total = newerCount + this.previous.totalCount;
    return (newer * newerCount + older * (total - newerCount)) / total;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 16,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}
