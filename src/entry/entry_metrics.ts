import {build, Histogram} from 'hdr-histogram-js';

import {ResultCode} from '../result_codes/result_code.js';

/** A request that has ended, as recorded in the metrics. */
export interface MeasuredRequest {
  service: string;
  customer: string;
  urgency: string;
  code: ResultCode;
  /** Time in ms from the arrival of the request to the end of the response. */
  latencyMs: number;
}

/** Returns the current values of the gauges by name. */
export type GaugeReader = () => Record<string, number>;

const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const MICROSECONDS_PER_MS = 1000;

// Further series share one label set, which bounds the memory.
const MAX_SERIES = 200;

/** Request counts and latencies in the Prometheus text format. */
export class EntryMetrics {
  private readonly counts = new Map<string, number>();
  private readonly latencies = new Map<string, Histogram>();
  private readonly sums = new Map<string, number>();

  constructor(private readonly readGauges: GaugeReader) {}

  /** Records a request that has ended. */
  record(request: MeasuredRequest): void {
    const {service, customer, urgency, code, latencyMs} = request;
    const labels = this.seriesOf(
      `service="${service}",customer="${customer}",urgency="${urgency}"`,
    );
    const key = `${labels},code="${code.number}",outcome="${code.outcome}"`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    this.histogramOf(labels).recordValue(
      Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)),
    );
    this.sums.set(labels, (this.sums.get(labels) ?? 0) + latencyMs / 1000);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): string {
    const lines = ['# TYPE banyanmux_requests_total counter'];
    for (const [labels, count] of this.counts) {
      lines.push(`banyanmux_requests_total{${labels}} ${count}`);
    }
    lines.push('# TYPE banyanmux_request_seconds summary');
    for (const [labels, histogram] of this.latencies) {
      for (const quantile of QUANTILES) {
        const seconds =
          histogram.getValueAtPercentile(quantile * 100) /
          (MICROSECONDS_PER_MS * 1000);
        lines.push(
          `banyanmux_request_seconds{${labels},quantile="${quantile}"} ${seconds}`,
        );
      }
      const sum = this.sums.get(labels) ?? 0;
      lines.push(`banyanmux_request_seconds_sum{${labels}} ${sum}`);
      lines.push(
        `banyanmux_request_seconds_count{${labels}} ${histogram.totalCount}`,
      );
    }
    for (const [name, value] of Object.entries(this.readGauges())) {
      lines.push(
        `# TYPE banyanmux_${name} gauge`,
        `banyanmux_${name} ${value}`,
      );
    }
    return `${lines.join('\n')}\n`;
  }

  private seriesOf(labels: string): string {
    if (this.latencies.has(labels) || this.latencies.size < MAX_SERIES) {
      return labels;
    }
    return 'service="other",customer="other",urgency="other"';
  }

  private histogramOf(labels: string): Histogram {
    let histogram = this.latencies.get(labels);
    if (!histogram) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        autoResize: true,
        numberOfSignificantValueDigits: 2,
      });
      this.latencies.set(labels, histogram);
    }
    return histogram;
  }
}
