import {sleep} from '../src/clock/sleep.js';
import {RandomSource} from '../src/random/random_source.js';

/** Options of {@link openArrivals}. */
export interface OpenArrivalsOptions {
  random: RandomSource;
  perSecond: number;
  durationMs: number;
  /** Called for each arrival; its promise is awaited at the end. */
  arrive: () => Promise<void>;
}

/**
 * Produces arrivals at random times (a Poisson process) that don't wait for
 * earlier answers, and waits for all of them to end. Arrivals that become due
 * between two timer events happen together.
 */
export async function openArrivals(
  options: OpenArrivalsOptions,
): Promise<void> {
  const {random, perSecond, durationMs, arrive} = options;
  const startMs = performance.now();
  const ends: Array<Promise<void>> = [];
  let nextMs = 0;
  while (nextMs < durationMs) {
    while (startMs + nextMs <= performance.now() && nextMs < durationMs) {
      ends.push(arrive());
      nextMs -= (Math.log(1 - random.next()) / perSecond) * 1000;
    }
    await sleep(1);
  }
  await Promise.all(ends);
}
