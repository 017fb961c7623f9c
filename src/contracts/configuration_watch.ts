import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {PlatformService} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {CONFIGURATION_PREFIX} from './configuration_key.js';
import {ConfigurationStore} from './configuration_store.js';
import {needsFullList, retryDelayMs} from './propagation_plan.js';

/** Options of {@link ConfigurationWatch}. */
export interface ConfigurationWatchOptions {
  store: ConfigurationStore;
  platform: PlatformService;
  clock: Clock;
  random: RandomSource;
  /**
   * Longest duration in ms of one long poll. A dead connection is detected
   * after this time plus the call timeout, which together stay below the 4 s
   * within which a change must take effect. @default 2000
   */
  longPollMs?: number;
  /** Called with the error of each failed platform call. @default none */
  onFailure?: (error: Error) => void;
}

/** Watches the platform for configuration changes while it is started. */
export class ConfigurationWatch {
  private abortController: AbortController | undefined;

  constructor(private readonly options: ConfigurationWatchOptions) {}

  /** True while the watch is running. */
  get isRunning(): boolean {
    return this.abortController !== undefined;
  }

  /** Starts the watch; has no effect while it is running. */
  start(): void {
    if (this.abortController) return;
    this.abortController = new AbortController();
    void this.run(this.abortController.signal);
  }

  /** Stops the watch and aborts its pending call. */
  stop(): void {
    this.abortController?.abort();
    this.abortController = undefined;
  }

  /** Reads all configuration keys once. */
  async list(): Promise<void> {
    const {platform, store, clock} = this.options;
    const requestedMs = clock.nowMs();
    const {entries, revision} = await platform.list(CONFIGURATION_PREFIX);
    // A stale response must not count as a confirmation of newer state.
    const isStale = revision < store.completeRevision;
    store.applyDelta(
      {
        sinceRevision: 0,
        completeRevision: revision,
        entries,
        isSnapshot: true,
        ageMs: isStale ? undefined : 0,
      },
      requestedMs,
    );
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, random, onFailure} = this.options;
    let failures = 0;
    let lastListMs = -Infinity;
    let lastResponseMs = -Infinity;
    while (!signal.aborted) {
      const nowMs = clock.nowMs();
      const isListDue = needsFullList({
        hasListed: lastListMs > -Infinity,
        timeSinceListMs: nowMs - lastListMs,
        timeSinceResponseMs: nowMs - lastResponseMs,
      });
      try {
        if (isListDue) await this.list();
        else await this.poll(signal);
        lastResponseMs = clock.nowMs();
        if (isListDue) lastListMs = lastResponseMs;
        failures = 0;
      } catch (error) {
        if (signal.aborted) return;
        failures += 1;
        onFailure?.(error as Error);
        await sleep(retryDelayMs(failures, random), {signal});
      }
    }
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const {platform, store, clock, longPollMs = 2000} = this.options;
    const sinceRevision = store.completeRevision;
    const requestedMs = clock.nowMs();
    const {changes, revision} = await platform.watch(CONFIGURATION_PREFIX, {
      sinceRevision,
      waitMs: longPollMs,
      signal,
    });
    const isStale = revision < store.completeRevision;
    store.applyDelta(
      {
        sinceRevision,
        completeRevision: revision,
        entries: changes,
        isSnapshot: false,
        ageMs: isStale ? undefined : 0,
      },
      requestedMs,
    );
  }
}
