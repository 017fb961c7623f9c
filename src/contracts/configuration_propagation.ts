import {sleep} from '../clock/sleep.js';
import {ConfigurationDelta} from './configuration_delta.js';
import {ConfigurationPeer} from './configuration_peer.js';
import {
  ConfigurationWatch,
  ConfigurationWatchOptions,
} from './configuration_watch.js';
import {
  chooseExchangePeers,
  isWatching,
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
  exchangeMs?: number;
}

/** Time in ms after which an unconfirmed state is confirmed by a peer. */
const CONFIRM_AFTER_MS = 2000;

/**
 * Brings changes to this process: by a watch at the platform, from peers
 * whose heartbeats show a newer revision, and from other data centres. Owns
 * the timers and calls; the store decides what takes effect.
 */
export class ConfigurationPropagation {
  private readonly watch: ConfigurationWatch;
  private readonly stopping = new AbortController();
  private readonly asking = new Set<ConfigurationPeer>();
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
    const {localPeers, remotePeers, exchangeMs = 500} = this.options;
    for (const peer of [...localPeers, ...remotePeers]) void this.ask(peer);
    void this.listUntilReady();
    this.updateWatch();
    this.timer = setInterval(() => this.tick(), exchangeMs);
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
  heard(member: string, revision: number): void {
    if (revision <= this.options.store.completeRevision) return;
    const peer = this.options.localPeers.find((p) => p.member === member);
    if (peer) void this.ask(peer);
  }

  /** Answers a peer's question for changes after a revision. */
  answer(sinceRevision: number): ConfigurationDelta {
    return this.options.store.deltaSince(sinceRevision);
  }

  /** Ends all calls and timers. */
  stop(): void {
    this.stopping.abort();
    clearInterval(this.timer);
    this.watch.stop();
  }

  private tick(): void {
    const {role, remotePeers, localPeers, random, store} = this.options;
    this.updateWatch();
    if (role === 'entry') {
      for (const peer of chooseExchangePeers(remotePeers, random)) {
        void this.ask(peer);
      }
    }
    if (store.ageMs() > CONFIRM_AFTER_MS && localPeers.length > 0) {
      void this.ask(localPeers[random.nextInteger(localPeers.length)]!);
    }
  }

  private updateWatch(): void {
    const {role, self, livingEntries} = this.options;
    const isChosen = role === 'entry' && isWatching(self, livingEntries());
    if (isChosen) this.watch.start();
    else this.watch.stop();
  }

  /** Asks a peer; one question at a time. */
  private async ask(peer: ConfigurationPeer): Promise<void> {
    if (this.asking.has(peer)) return;
    this.asking.add(peer);
    const {store, clock, onFailure} = this.options;
    const askedMs = clock.nowMs();
    try {
      const delta = await peer.configurationSince(store.completeRevision);
      if (this.stopping.signal.aborted) return;
      store.applyDelta(delta, askedMs);
      this.notifyReady();
    } catch (error) {
      onFailure?.(error as Error);
    } finally {
      this.asking.delete(peer);
    }
  }

  private async listUntilReady(): Promise<void> {
    const {store, random, onFailure} = this.options;
    const {signal} = this.stopping;
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
