import {monitorEventLoopDelay} from 'node:perf_hooks';

import {build, Histogram} from 'hdr-histogram-js';

/** Returns the current gauges by name; called when metrics are rendered. */
export type GaugeReader = () => Record<string, number>;

const QUANTILES = [0.5, 0.9, 0.99];

/**
 * Interval in ms at which the event loop delay is sampled. Each sample wakes
 * the process, which the default of 10 ms does a hundred times a second.
 */
const LOOP_DELAY_RESOLUTION_MS = 250;

const MICROSECONDS_PER_MS = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const NANOSECONDS_PER_SECOND = 1_000_000_000;

/** Counters, latency histograms and gauges of a node in Prometheus format. */
export class NodeMetrics {
  private readonly counters = new Map<string, number>();
  private readonly latencies = new Map<string, Histogram>();
  private readonly loopDelay = monitorEventLoopDelay({
    resolution: LOOP_DELAY_RESOLUTION_MS,
  });

  constructor(private readonly readGauges: GaugeReader) {
    this.loopDelay.enable();
  }

  /** Increments a counter series, such as `requests_total{method="GET"}`. */
  increment(series: string): void {
    this.counters.set(series, (this.counters.get(series) ?? 0) + 1);
  }

  /** Records a latency in ms in the histogram `name`, such as `request`. */
  recordLatency(name: string, durationMs: number): void {
    let histogram = this.latencies.get(name);
    if (!histogram) {
      histogram = build({numberOfSignificantValueDigits: 2});
      this.latencies.set(name, histogram);
    }
    histogram.recordValue(
      Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
    );
  }

  /** Renders all metrics in the Prometheus text format. */
  toPrometheusText(): string {
    const lines: string[] = [];
    for (const [series, count] of this.counters) {
      lines.push(`banyanmux_${series} ${count}`);
    }
    for (const [name, histogram] of this.latencies) {
      for (const quantile of QUANTILES) {
        const micros = histogram.getValueAtPercentile(quantile * 100);
        const seconds = micros / MICROSECONDS_PER_SECOND;
        lines.push(
          `banyanmux_${name}_seconds{quantile="${quantile}"} ${seconds}`,
        );
      }
      lines.push(`banyanmux_${name}_seconds_count ${histogram.totalCount}`);
    }
    const delay = this.loopDelay.percentile(99) / NANOSECONDS_PER_SECOND;
    lines.push(`banyanmux_event_loop_delay_seconds{quantile="0.99"} ${delay}`);
    for (const [name, value] of Object.entries(this.readGauges())) {
      lines.push(`banyanmux_${name} ${value}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
