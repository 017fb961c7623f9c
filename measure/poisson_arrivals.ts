import {sleep} from '../src/clock/sleep.js';
import {RandomSource} from '../src/random/random_source.js';

/** Options of {@link generatePoissonArrivals}. */
export interface PoissonArrivalsOptions {
  random: RandomSource;
  perSecond: number;
  durationMs: number;
  /** Called for each arrival; its promise is awaited at the end. */
  onArrival: () => Promise<void>;
}

/**
 * Produces arrivals at random times (a Poisson process) that don't wait for
 * earlier answers, and waits for all of them to end. Arrivals that become due
 * between two timer events happen together.
 */
export async function generatePoissonArrivals(
  options: PoissonArrivalsOptions,
): Promise<void> {
  const {random, perSecond, durationMs, onArrival} = options;
  const startMs = performance.now();
  const pendingArrivals: Array<Promise<void>> = [];
  let nextMs = 0;
  while (nextMs < durationMs) {
    while (startMs + nextMs <= performance.now() && nextMs < durationMs) {
      pendingArrivals.push(onArrival());
      nextMs -= (Math.log(1 - random.next()) / perSecond) * 1000;
    }
    await sleep(1);
  }
  await Promise.all(pendingArrivals);
}
