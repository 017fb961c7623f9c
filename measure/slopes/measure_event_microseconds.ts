import {performance} from 'node:perf_hooks';

const WARM_UP_ROUNDS = 20;
const MIN_BATCH_MS = 40;

/**
 * Measures the CPU time of one synchronous event in µs as elapsed time. Returns
 * the mean of the fastest of three batches, because other processes on the
 * machine can only add time.
 */
export function measureEventMicroseconds(event: () => void): number {
  for (let round = 0; round < WARM_UP_ROUNDS; round++) event();
  let best = Number.POSITIVE_INFINITY;
  for (let batch = 0; batch < 3; batch++) {
    const startMs = performance.now();
    let rounds = 0;
    while (performance.now() - startMs < MIN_BATCH_MS) {
      event();
      rounds += 1;
    }
    best = Math.min(best, ((performance.now() - startMs) * 1000) / rounds);
  }
  return best;
}
