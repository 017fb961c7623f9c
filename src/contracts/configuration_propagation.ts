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
  /** 'entry' or 'scheduler'; only entries watch and ask other data centres. */
  role: string;
  /** Entries of this data centre, without this process. */
  localPeers: readonly ConfigurationPeer[];
  /** Entries of other data centres. */
  remotePeers: readonly ConfigurationPeer[];
  /** Names of the living entries of this data centre as known now. */
  livingEntries: () => readonly string[];
  /** Time in ms between exchanges with other data centres. @default 500 */
  exchangeIntervalMs?: number;
}

/** Time in ms after which an unconfirmed state is confirmed by a peer. */
const MAX_UNCONFIRMED_MS = 2000;

/**
 * Brings changes to this process: by a watch at the platform, from peers
 * whose heartbeats show a newer revision, and from other data centres. Owns
 * the timers and calls; the store decides what takes effect.
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

  /** Tells whether this process holds a watch at the platform. */
  get isWatching(): boolean {
    return this.watch.isRunning;
  }

  /** Asks the platform and all peers, and starts to follow changes. */
  start(): void {
    const {
      localPeers,
      remotePeers,
      exchangeIntervalMs: exchangeIntervalMs = 500,
    } = this.options;
    for (const peer of [...localPeers, ...remotePeers]) void this.pull(peer);
    void this.listWithRetry();
    this.updateWatch();
    this.timer = setInterval(() => this.runInterval(), exchangeIntervalMs);
  }

  /** Resolves once the platform or a peer has answered. */
  whenReady(): Promise<void> {
    if (this.options.store.isReady) return Promise.resolve();
    return new Promise((resolve) => this.readyListeners.push(resolve));
  }

  /**
   * Must be called with each heartbeat of an entry of this data centre.
   *
   * @param member - Name of the sender.
   * @param revision - Configuration revision that the heartbeat carries.
   */
  onHeartbeat(member: string, revision: number): void {
    if (revision <= this.options.store.completeRevision) return;
    const peer = this.options.localPeers.find((p) => p.member === member);
    if (peer) void this.pull(peer);
  }

  /** Answers a peer's question for changes after a revision. */
  deltaSince(sinceRevision: number): ConfigurationDelta {
    return this.options.store.deltaSince(sinceRevision);
  }

  /** Ends all calls and timers. */
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

  /** Asks a peer; one question at a time. */
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
