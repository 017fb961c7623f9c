import {SystemClock} from '../../src/clock/system_clock.js';
import {ConfigurationEditor} from '../../src/contracts/configuration_editor.js';
import {ConfigurationPeer} from '../../src/contracts/configuration_peer.js';
import {ConfigurationPropagation} from '../../src/contracts/configuration_propagation.js';
import {ConfigurationStore} from '../../src/contracts/configuration_store.js';
import {PlatformService} from '../../src/platform/platform_service.js';
import {SeededRandom} from '../../src/random/seeded_random.js';

/** Simulated network partition of a data centre. */
export interface Partition {
  /** Whether calls to the platform fail. @default false */
  blocksPlatform?: boolean;
  /** Whether requests from and to other data centres fail. @default false */
  blocksRemotePeers?: boolean;
}

/** Configuration components of one entry. */
export interface BenchEntry {
  member: string;
  dataCentre: string;
  store: ConfigurationStore;
  propagation: ConfigurationPropagation;
  changes: ConfigurationEditor;
}

/** Options of {@link ConfigurationBench}. */
export interface ConfigurationBenchOptions {
  dataCentres: readonly string[];
  entriesPerDataCentre: number;
  /** Creates the platform client of one entry. */
  createPlatform: () => PlatformService;
  seed: number;
}

const HEARTBEAT_INTERVAL_MS = 400;

function rejectCall(what: string): Promise<never> {
  return Promise.reject(
    new Error(`Cannot reach ${what}: simulated network partition`),
  );
}

/**
 * Runs the configuration components of entries in several data centres in one
 * process, with simulated network partitions between them.
 */
export class ConfigurationBench {
  readonly entries: BenchEntry[] = [];
  /** Current partitions by data centre. */
  readonly partitions = new Map<string, Partition>();
  private readonly clock = new SystemClock();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConfigurationBenchOptions) {
    for (const dataCentre of options.dataCentres) {
      for (let n = 0; n < options.entriesPerDataCentre; n++) {
        this.addEntry(dataCentre, `${dataCentre}-${n}`);
      }
    }
  }

  /** Starts all entries and their heartbeats; resolves when they are ready. */
  async start(): Promise<void> {
    for (const {propagation} of this.entries) propagation.start();
    this.timer = setInterval(
      () => this.sendHeartbeats(),
      HEARTBEAT_INTERVAL_MS,
    );
    await Promise.all(this.entries.map((e) => e.propagation.whenReady()));
  }

  /** Stops all entries. */
  stop(): void {
    clearInterval(this.timer);
    for (const {propagation} of this.entries) propagation.stop();
  }

  private sendHeartbeats(): void {
    for (const from of this.entries) {
      for (const to of this.entries) {
        if (from === to || from.dataCentre !== to.dataCentre) continue;
        to.propagation.onHeartbeat(from.member, from.store.revision);
      }
    }
  }

  private addEntry(dataCentre: string, member: string): void {
    const {clock} = this;
    const store = new ConfigurationStore({clock});
    const platform = this.wrapPlatform(
      dataCentre,
      this.options.createPlatform(),
    );
    const members = Array.from(
      {length: this.options.entriesPerDataCentre},
      (_, n) => `${dataCentre}-${n}`,
    );
    const peers = this.createPeers(dataCentre, member);
    const propagation = new ConfigurationPropagation({
      store,
      platform,
      clock,
      random: new SeededRandom(this.options.seed + this.entries.length),
      self: member,
      role: 'entry',
      localPeers: peers.filter((peer) => peer.dataCentre === dataCentre),
      remotePeers: peers.filter((peer) => peer.dataCentre !== dataCentre),
      livingEntries: () => members,
    });
    const changes = new ConfigurationEditor({platform, clock, store});
    this.entries.push({member, dataCentre, store, propagation, changes});
  }

  private createPeers(dataCentre: string, self: string): ConfigurationPeer[] {
    return this.options.dataCentres.flatMap((other) =>
      Array.from({length: this.options.entriesPerDataCentre}, (_, n) => ({
        member: `${other}-${n}`,
        dataCentre: other,
        fetchDelta: (revision: number) => {
          const isBlocked = [dataCentre, other].some(
            (name) => this.partitions.get(name)?.blocksRemotePeers,
          );
          if (isBlocked && other !== dataCentre) return rejectCall(other);
          const peer = this.entries.find((e) => e.member === `${other}-${n}`)!;
          return Promise.resolve(peer.propagation.deltaSince(revision));
        },
      })).filter(({member}) => member !== self),
    );
  }

  /** Fails calls during a partition, including those already in progress. */
  private wrapPlatform(
    dataCentre: string,
    platform: PlatformService,
  ): PlatformService {
    const callUnlessPartitioned = async <T>(
      call: () => Promise<T>,
    ): Promise<T> => {
      const isBlocked = (): boolean =>
        this.partitions.get(dataCentre)?.blocksPlatform ?? false;
      if (isBlocked()) return rejectCall('platform');
      const answer = await call();
      return isBlocked() ? rejectCall('platform') : answer;
    };
    return {
      read: (key) => callUnlessPartitioned(() => platform.read(key)),
      list: (prefix) => callUnlessPartitioned(() => platform.list(prefix)),
      write: (write) => callUnlessPartitioned(() => platform.write(write)),
      delete: (key, revision) =>
        callUnlessPartitioned(() => platform.delete(key, revision)),
      watch: (prefix, options) =>
        callUnlessPartitioned(() => platform.watch(prefix, options)),
      listVms: (name) => callUnlessPartitioned(() => platform.listVms(name)),
    };
  }
}
