import {request} from 'undici';

/** Time in ms between two looks. */
const SAMPLE_INTERVAL_MS = 100;

const WAITING_REQUESTS_GAUGE = /^banyanmux_waiting_requests (\d+)/m;

/** Watches how many requests wait in entries, as their metrics show it. */
export class WaitingRequestSampler {
  private maxWaiting = 0;
  private readonly timer: NodeJS.Timeout;

  /** @param origins - Entries; their numbers are added up. */
  constructor(private readonly origins: readonly string[]) {
    this.timer = setInterval(() => void this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** Ends the watch; returns the largest number seen. */
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
      // A missed look only makes the largest number less exact.
    }
  }
}

async function readWaitingRequests(origin: string): Promise<number> {
  const answer = await request(`${origin}/metrics`);
  return Number(
    WAITING_REQUESTS_GAUGE.exec(await answer.body.text())?.[1] ?? 0,
  );
}
