import {RandomSource} from '../random/random_source.js';

/** Number of entries of a data centre that watch the platform. */
export const WATCHER_COUNT = 2;

/** Number of entries of other data centres queried at each exchange. */
export const EXCHANGE_PEER_COUNT = 2;

const RETRY_BASE_MS = 250;
const MAX_RETRY_MS = 2000;

/**
 * Returns true if a member watches the platform: the live entries that come
 * first by name do.
 *
 * @param self - Name of the member.
 * @param liveEntries - Names of the live entries of its data centre.
 */
export function isWatcher(
  self: string,
  liveEntries: readonly string[],
): boolean {
  const lowerCount = liveEntries.filter((member) => member < self).length;
  return lowerCount < WATCHER_COUNT;
}

/**
 * Chooses random peers of other data centres, each in a different data centre
 * if there are enough, so that one unreachable data centre does not block the
 * exchange.
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
 * Returns the time in ms to wait after failed platform calls: exponential
 * backoff with full jitter, so that processes do not all call at once when an
 * outage ends, and at most 2 s.
 *
 * @param failures - Number of consecutive failed calls, 1 or more.
 */
export function retryDelayMs(failures: number, random: RandomSource): number {
  const limit = Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** failures);
  return random.next() * limit;
}

/** State of a watch loop, for {@link needsFullList}. */
export interface WatchState {
  /** True once this watch loop has read the full list. */
  hasListed: boolean;
  /** Time in ms since the last full list of this watch loop. */
  timeSinceListMs: number;
  /** Time in ms since the platform last responded to this watch loop. */
  timeSinceResponseMs: number;
}

/** Longest interruption in ms after which a watch resumes without a list. */
const MAX_RESUME_GAP_MS = 30_000;

/** Interval in ms at which the full list is read even without failures. */
const RELIST_INTERVAL_MS = 300_000;

/**
 * Returns true if the full list must be read instead of resuming the watch.
 * The platform does not keep old changes, so a watch resumed after a long
 * interruption may miss some. The periodic list repairs what was missed for
 * any other reason.
 */
export function needsFullList(state: WatchState): boolean {
  return (
    !state.hasListed ||
    state.timeSinceResponseMs > MAX_RESUME_GAP_MS ||
    state.timeSinceListMs > RELIST_INTERVAL_MS
  );
}
