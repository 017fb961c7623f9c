import {request} from 'undici';

/** Time in ms between two looks. */
const INTERVAL_MS = 100;

const GAUGE = /^banyanmux_waiting_requests (\d+)/m;

/** Watches how many requests wait in entries, as their metrics show it. */
export class WaitingWatch {
  private max = 0;
  private readonly timer: NodeJS.Timeout;

  /** @param origins - Entries; their numbers are added up. */
  constructor(private readonly origins: readonly string[]) {
    this.timer = setInterval(() => void this.look(), INTERVAL_MS);
  }

  /** Ends the watch; returns the largest number seen. */
  stop(): number {
    clearInterval(this.timer);
    return this.max;
  }

  private async look(): Promise<void> {
    try {
      const counts = await Promise.all(this.origins.map(waitingAt));
      const sum = counts.reduce((total, count) => total + count, 0);
      this.max = Math.max(this.max, sum);
    } catch {
      // A missed look only makes the largest number less exact.
    }
  }
}

async function waitingAt(origin: string): Promise<number> {
  const answer = await request(`${origin}/metrics`);
  return Number(GAUGE.exec(await answer.body.text())?.[1] ?? 0);
}
