import {build, Histogram} from 'hdr-histogram-js';

/** Options of {@link WindowedQuantiles}. */
export interface WindowedQuantilesOptions {
  /** Samples after which the older half is forgotten. @default 200 */
  generationSamples?: number;
}

const PERCENT = 100;

/**
 * Quantiles of recent samples. Two generations of histograms: when the newer
 * one is full the older one is dropped, so a shift is forgotten in bounded
 * memory.
 */
export class WindowedQuantiles {
  private current = createHistogram();
  private previous: Histogram | undefined;
  /** A search through the histogram costs more than a decision. */
  private readonly known = new Map<number, number>();
  private readonly generationSamples: number;

  constructor(options: WindowedQuantilesOptions = {}) {
    this.generationSamples = options.generationSamples ?? 200;
  }

  /** Number of samples that are remembered. */
  get count(): number {
    return this.current.totalCount + (this.previous?.totalCount ?? 0);
  }

  /** Adds a sample of at least 0; it is rounded to a whole number. */
  add(value: number): void {
    if (this.current.totalCount >= this.generationSamples) {
      this.previous = this.current;
      this.current = createHistogram();
    }
    this.current.recordValue(Math.max(0, Math.round(value)));
    this.known.clear();
  }

  /** Value that the part `quantile` (0 to 1) of the samples don't exceed. */
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
    // Counts weigh the generations; merging histograms would cost a copy.
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
