import {RandomSource} from '../random/random_source.js';

/** Entries of a data centre that hold a watch. */
export const WATCHER_COUNT = 2;

/** Entries of other data centres that are asked at each exchange. */
export const EXCHANGE_PEER_COUNT = 2;

const RETRY_BASE_MS = 250;
const MAX_RETRY_MS = 2000;

/**
 * Tells whether a member holds a watch: the lowest-numbered living entries do.
 *
 * @param self - Name of the member.
 * @param liveEntries - Names of the living entries of its data centre.
 */
export function isWatcher(
  self: string,
  liveEntries: readonly string[],
): boolean {
  const lowerCount = liveEntries.filter((member) => member < self).length;
  return lowerCount < WATCHER_COUNT;
}

/**
 * Chooses peers of other data centres, each of a different one while there
 * are enough, so that one unreachable data centre does not stop the exchange.
 */
export function chooseExchangePeers<T extends {dataCentre: string}>(
  remotePeers: readonly T[],
  random: RandomSource,
): T[] {
  const candidates = [...remotePeers];
  const chosen: T[] = [];
  while (chosen.length < EXCHANGE_PEER_COUNT && candidates.length > 0) {
    const chosenDataCentres = new Set(chosen.map((peer) => peer.dataCentre));
    const inOtherDataCentres = candidates.filter(
      (peer) => !chosenDataCentres.has(peer.dataCentre),
    );
    const pool =
      inOtherDataCentres.length > 0 ? inOtherDataCentres : candidates;
    const peer = pool[random.nextInteger(pool.length)]!;
    chosen.push(peer);
    candidates.splice(candidates.indexOf(peer), 1);
  }
  return chosen;
}

/**
 * Time in ms to wait after failed platform calls: random, so that processes
 * do not call all at once when an outage ends, and at most 2 s.
 *
 * @param failures - Calls that failed in a row, 1 or more.
 */
export function retryDelayMs(failures: number, random: RandomSource): number {
  const limit = Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** failures);
  return random.next() * limit;
}

/** State on which {@link needsFullList} decides. */
export interface WatchState {
  /** True once this watch loop has read the full list. */
  hasListed: boolean;
  /** Time in ms since the last full list of this watch loop. */
  timeSinceListMs: number;
  /** Time in ms since the platform last answered this watch loop. */
  timeSinceResponseMs: number;
}

/** Longest time in ms after which a watch is resumed without a full list. */
const MAX_RESUME_GAP_MS = 30_000;

/** Time in ms after which the full list is read although nothing failed. */
const RELIST_INTERVAL_MS = 300_000;

/**
 * Tells whether the full list is read instead of resuming the watch. The
 * platform forgets old changes, so that a watch which was interrupted for
 * long may miss some; the regular list repairs whatever was missed anyhow.
 */
export function needsFullList(state: WatchState): boolean {
  return (
    !state.hasListed ||
    state.timeSinceResponseMs > MAX_RESUME_GAP_MS ||
    state.timeSinceListMs > RELIST_INTERVAL_MS
  );
}
