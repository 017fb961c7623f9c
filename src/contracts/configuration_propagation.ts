import {sleep} from '../clock/sleep.js';
import {ConfigurationDelta} from './configuration_delta.js';
import {ConfigurationPeer} from './configuration_peer.js';
import {
  ConfigurationWatch,
  ConfigurationWatchOptions,
} from './configuration_watch.js';
import {
  chooseExchangePeers,
  isWatcher,
  retryDelayMs,
} from './propagation_plan.js';

/** Options of {@link ConfigurationPropagation}. */
export interface ConfigurationPropagationOptions extends ConfigurationWatchOptions {
  /** Name of this member. */
  self: string;
  /**
   * 'entry' or 'scheduler'; only entries watch the platform and request
   * changes from other data centres.
   */
  role: string;
  /** Entries of this data centre, without this process. */
  localPeers: readonly ConfigurationPeer[];
  /** Entries of other data centres. */
  remotePeers: readonly ConfigurationPeer[];
  /** Returns the names of the live entries of this data centre. */
  livingEntries: () => readonly string[];
  /** Time in ms between exchanges with other data centres. @default 500 */
  exchangeIntervalMs?: number;
}

/** Age in ms of the configuration above which a local peer is queried. */
const MAX_UNCONFIRMED_MS = 2000;

/**
 * Keeps the configuration of this process up to date: watches the platform,
 * and requests changes from peers whose heartbeats carry a newer revision and
 * from other data centres. Owns the timers and calls; the store decides which
 * changes take effect.
 */
export class ConfigurationPropagation {
  private readonly watch: ConfigurationWatch;
  private readonly abortController = new AbortController();
  private readonly peersInRequest = new Set<ConfigurationPeer>();
  private readonly readyListeners: Array<() => void> = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConfigurationPropagationOptions) {
    this.watch = new ConfigurationWatch(options);
  }

  /** True while this process watches the platform. */
  get isWatching(): boolean {
    return this.watch.isRunning;
  }

  /** Reads from the platform and all peers, and starts to follow changes. */
  start(): void {
    const {localPeers, remotePeers, exchangeIntervalMs = 500} = this.options;
    for (const peer of [...localPeers, ...remotePeers]) void this.pull(peer);
    void this.listWithRetry();
    this.updateWatch();
    this.timer = setInterval(() => this.runInterval(), exchangeIntervalMs);
  }

  /** Resolves once the platform or a peer has provided a confirmed state. */
  whenReady(): Promise<void> {
    if (this.options.store.isReady) return Promise.resolve();
    return new Promise((resolve) => this.readyListeners.push(resolve));
  }

  /**
   * Requests changes from the sender of a heartbeat if its revision is newer.
   * Must be called for each heartbeat of an entry of this data centre.
   *
   * @param member - Name of the sender.
   * @param revision - Configuration revision that the heartbeat carries.
   */
  onHeartbeat(member: string, revision: number): void {
    if (revision <= this.options.store.completeRevision) return;
    const peer = this.options.localPeers.find((p) => p.member === member);
    if (peer) void this.pull(peer);
  }

  /** Returns the changes after a revision, for a peer that requests them. */
  deltaSince(sinceRevision: number): ConfigurationDelta {
    return this.options.store.deltaSince(sinceRevision);
  }

  /** Stops the watch and all timers; ignores responses that arrive later. */
  stop(): void {
    this.abortController.abort();
    clearInterval(this.timer);
    this.watch.stop();
  }

  private runInterval(): void {
    const {role, remotePeers, localPeers, random, store} = this.options;
    this.updateWatch();
    if (role === 'entry') {
      for (const peer of chooseExchangePeers(remotePeers, random)) {
        void this.pull(peer);
      }
    }
    if (store.ageMs() > MAX_UNCONFIRMED_MS && localPeers.length > 0) {
      void this.pull(localPeers[random.nextInteger(localPeers.length)]!);
    }
  }

  private updateWatch(): void {
    const {role, self, livingEntries} = this.options;
    const isSelfWatcher = role === 'entry' && isWatcher(self, livingEntries());
    if (isSelfWatcher) this.watch.start();
    else this.watch.stop();
  }

  /** Requests changes from a peer unless a request to it is pending. */
  private async pull(peer: ConfigurationPeer): Promise<void> {
    if (this.peersInRequest.has(peer)) return;
    this.peersInRequest.add(peer);
    const {store, clock, onFailure} = this.options;
    const requestedMs = clock.nowMs();
    try {
      const delta = await peer.fetchDelta(store.completeRevision);
      if (this.abortController.signal.aborted) return;
      store.applyDelta(delta, requestedMs);
      this.notifyReady();
    } catch (error) {
      onFailure?.(error as Error);
    } finally {
      this.peersInRequest.delete(peer);
    }
  }

  private async listWithRetry(): Promise<void> {
    const {store, random, onFailure} = this.options;
    const {signal} = this.abortController;
    for (let failures = 1; !signal.aborted; failures++) {
      try {
        await this.watch.list();
        this.notifyReady();
        return;
      } catch (error) {
        onFailure?.(error as Error);
      }
      await sleep(retryDelayMs(failures, random), {signal});
      if (store.isReady) return;
    }
  }

  private notifyReady(): void {
    if (!this.options.store.isReady) return;
    for (const resolve of this.readyListeners.splice(0)) resolve();
  }
}
