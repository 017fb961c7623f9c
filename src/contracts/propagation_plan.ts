import {RandomSource} from '../random/random_source.js';

/** Entries of a data centre that hold a watch. */
export const WATCHING_ENTRIES = 2;

/** Entries of other data centres that are asked at each exchange. */
export const EXCHANGE_PEERS = 2;

const FIRST_RETRY_MS = 250;
const LONGEST_RETRY_MS = 2000;

/**
 * Tells whether a member holds a watch: the lowest-numbered living entries do.
 *
 * @param self - Name of the member.
 * @param living - Names of the living entries of its data centre.
 */
export function isWatching(self: string, living: readonly string[]): boolean {
  const before = living.filter((member) => member < self).length;
  return before < WATCHING_ENTRIES;
}

/**
 * Chooses peers of other data centres, each of a different one while there
 * are enough, so that one unreachable data centre does not stop the exchange.
 */
export function chooseExchangePeers<T extends {dataCentre: string}>(
  remotePeers: readonly T[],
  random: RandomSource,
): T[] {
  const rest = [...remotePeers];
  const chosen: T[] = [];
  while (chosen.length < EXCHANGE_PEERS && rest.length > 0) {
    const used = new Set(chosen.map((peer) => peer.dataCentre));
    const others = rest.filter((peer) => !used.has(peer.dataCentre));
    const pool = others.length > 0 ? others : rest;
    const peer = pool[random.nextInteger(pool.length)]!;
    chosen.push(peer);
    rest.splice(rest.indexOf(peer), 1);
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
  const limit = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
  return random.next() * limit;
}

/** State on which {@link needsList} decides. */
export interface WatchState {
  /** True once this watch loop has read the full list. */
  hasListed: boolean;
  /** Time in ms since the last full list of this watch loop. */
  sinceListMs: number;
  /** Time in ms since the platform last answered this watch loop. */
  sinceAnswerMs: number;
}

/** Longest time in ms after which a watch is resumed without a full list. */
const RESUME_LIMIT_MS = 30_000;

/** Time in ms after which the full list is read although nothing failed. */
const RELIST_MS = 300_000;

/**
 * Tells whether the full list is read instead of resuming the watch. The
 * platform forgets old changes, so that a watch which was interrupted for
 * long may miss some; the regular list repairs whatever was missed anyhow.
 */
export function needsList(state: WatchState): boolean {
  return (
    !state.hasListed ||
    state.sinceAnswerMs > RESUME_LIMIT_MS ||
    state.sinceListMs > RELIST_MS
  );
}
