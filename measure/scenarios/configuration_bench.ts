import {SystemClock} from '../../src/clock/system_clock.js';
import {ConfigurationEditor} from '../../src/contracts/configuration_editor.js';
import {ConfigurationPeer} from '../../src/contracts/configuration_peer.js';
import {ConfigurationPropagation} from '../../src/contracts/configuration_propagation.js';
import {ConfigurationStore} from '../../src/contracts/configuration_store.js';
import {PlatformService} from '../../src/platform/platform_service.js';
import {SeededRandom} from '../../src/random/seeded_random.js';

/** What of a data centre is cut off. */
export interface Cut {
  /** No calls to the platform. @default false */
  platform?: boolean;
  /** No questions from and to other data centres. @default false */
  others?: boolean;
}

/** One entry: its store, propagation and change path. */
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
  /** Makes the connection of one entry to the platform. */
  createPlatform: () => PlatformService;
  seed: number;
}

const HEARTBEAT_MS = 400;

function refuse(what: string): Promise<never> {
  return Promise.reject(new Error(`Cannot reach ${what}: cut off`));
}

/** Entries of several data centres in one process, with cuts between them. */
export class ConfigurationBench {
  readonly entries: BenchEntry[] = [];
  readonly cuts = new Map<string, Cut>();
  private readonly clock = new SystemClock();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConfigurationBenchOptions) {
    for (const dataCentre of options.dataCentres) {
      for (let n = 0; n < options.entriesPerDataCentre; n++) {
        this.addEntry(dataCentre, `${dataCentre}-${n}`);
      }
    }
  }

  /** Starts all entries and their heartbeats. */
  async start(): Promise<void> {
    for (const {propagation} of this.entries) propagation.start();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
    await Promise.all(this.entries.map((e) => e.propagation.whenReady()));
  }

  /** Ends all entries. */
  stop(): void {
    clearInterval(this.timer);
    for (const {propagation} of this.entries) propagation.stop();
  }

  private beat(): void {
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
    const platform = this.cuttable(dataCentre, this.options.createPlatform());
    const members = Array.from(
      {length: this.options.entriesPerDataCentre},
      (_, n) => `${dataCentre}-${n}`,
    );
    const peers = this.peersOf(dataCentre, member);
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

  private peersOf(dataCentre: string, self: string): ConfigurationPeer[] {
    return this.options.dataCentres.flatMap((other) =>
      Array.from({length: this.options.entriesPerDataCentre}, (_, n) => ({
        member: `${other}-${n}`,
        dataCentre: other,
        fetchDelta: (revision: number) => {
          const isCut = [dataCentre, other].some(
            (name) => this.cuts.get(name)?.others,
          );
          if (isCut && other !== dataCentre) return refuse(other);
          const peer = this.entries.find((e) => e.member === `${other}-${n}`)!;
          return Promise.resolve(peer.propagation.deltaSince(revision));
        },
      })).filter(({member}) => member !== self),
    );
  }

  /** Fails calls while the data centre is cut off, also those under way. */
  private cuttable(
    dataCentre: string,
    platform: PlatformService,
  ): PlatformService {
    const guard = async <T>(call: () => Promise<T>): Promise<T> => {
      const isCut = (): boolean => this.cuts.get(dataCentre)?.platform ?? false;
      if (isCut()) return refuse('platform');
      const answer = await call();
      return isCut() ? refuse('platform') : answer;
    };
    return {
      read: (key) => guard(() => platform.read(key)),
      list: (prefix) => guard(() => platform.list(prefix)),
      write: (write) => guard(() => platform.write(write)),
      delete: (key, revision) => guard(() => platform.delete(key, revision)),
      watch: (prefix, options) => guard(() => platform.watch(prefix, options)),
      listVms: (name) => guard(() => platform.listVms(name)),
    };
  }
}
