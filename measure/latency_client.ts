import {build, Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';

import {RandomSource} from '../src/random/random_source.js';
import {generatePoissonArrivals} from './poisson_arrivals.js';

/** Destination of requests, and the headers to send. */
export interface LatencyRoute {
  /**
   * Returns the origin and headers for the next request; `release` must be
   * called when the request has ended.
   */
  acquire(): {
    origin: string;
    headers: Record<string, string>;
    release: () => void;
  };
  /** Path of each request. */
  path: string;
}

/** Options of {@link LatencyClient}. */
export interface LatencyClientOptions {
  /** Maximum number of connections to each origin. */
  connections: number;
  /** Time in ms that a target works on a request. */
  workMs: number;
}

/** Sends requests over a route and records their latencies. */
export class LatencyClient {
  /** Latencies of successful requests in microseconds. */
  readonly histogram: Histogram = build({numberOfSignificantValueDigits: 3});
  /** Number of requests without a response of status 200. */
  failures = 0;
  private readonly agent: Agent;

  constructor(
    private readonly route: LatencyRoute,
    private readonly options: LatencyClientOptions,
  ) {
    this.agent = new Agent({connections: options.connections});
  }

  /** Sends open-loop load: requests start at random times. */
  runOpenLoop(options: {
    random: RandomSource;
    perSecond: number;
    durationMs: number;
  }): Promise<void> {
    return generatePoissonArrivals({...options, onArrival: () => this.send()});
  }

  /**
   * Sends closed-loop load: each of `concurrency` senders waits for a response
   * before it sends its next request.
   */
  async runClosedLoop(options: {
    concurrency: number;
    durationMs: number;
  }): Promise<void> {
    const endMs = performance.now() + options.durationMs;
    const sendRepeatedly = async (): Promise<void> => {
      while (performance.now() < endMs) await this.send();
    };
    await Promise.all(
      Array.from({length: options.concurrency}, sendRepeatedly),
    );
  }

  /** Returns the latency in ms at a percentile from 0 to 100. */
  percentileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    return this.agent.destroy();
  }

  private async send(): Promise<void> {
    const {origin, headers, release} = this.route.acquire();
    const startMs = performance.now();
    try {
      const answer = await this.agent.request({
        origin,
        path: this.route.path,
        method: 'POST',
        headers: {...headers, 'x-work-ms': String(this.options.workMs)},
        body: 'request',
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) throw new Error('unexpected status');
      const elapsedMs = performance.now() - startMs;
      this.histogram.recordValue(Math.round(elapsedMs * 1000));
    } catch {
      this.failures += 1;
    } finally {
      release();
    }
  }
}
