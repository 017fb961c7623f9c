import {sleep} from '../src/clock/sleep.js';
import {RandomSource} from '../src/random/random_source.js';

/** Options of {@link generatePoissonArrivals}. */
export interface PoissonArrivalsOptions {
  random: RandomSource;
  /** Mean rate of arrivals per second. */
  perSecond: number;
  durationMs: number;
  /** Called for each arrival; its promise is awaited at the end. */
  onArrival: () => Promise<void>;
}

/**
 * Generates arrivals as a Poisson process, so that they do not depend on
 * earlier responses, and resolves when all of them have ended. Arrivals that
 * become due between two timer events happen at the same time.
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
