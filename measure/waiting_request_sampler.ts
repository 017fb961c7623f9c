import {request} from 'undici';

const SAMPLE_INTERVAL_MS = 100;

const WAITING_REQUESTS_GAUGE = /^banyanmux_waiting_requests (\d+)/m;

/** Samples the number of waiting requests from the metrics of entries. */
export class WaitingRequestSampler {
  private maxWaiting = 0;
  private readonly timer: NodeJS.Timeout;

  /** @param origins - Origins of the entries; their counts are summed. */
  constructor(private readonly origins: readonly string[]) {
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Stops sampling; returns the largest sum that was sampled. */
  stop(): number {
    clearInterval(this.timer);
    return this.maxWaiting;
  }

  private async sample(): Promise<void> {
    try {
      const counts = await Promise.all(this.origins.map(readWaitingRequests));
      const sum = counts.reduce((total, count) => total + count, 0);
      this.maxWaiting = Math.max(this.maxWaiting, sum);
    } catch {
      // A failed sample only makes the maximum less exact.
    }
  }
}

async function readWaitingRequests(origin: string): Promise<number> {
  const answer = await request(`${origin}/metrics`);
  return Number(
    WAITING_REQUESTS_GAUGE.exec(await answer.body.text())?.[1] ?? 0,
  );
}
