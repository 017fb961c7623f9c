import {randomUUID} from 'node:crypto';
import {setImmediate} from 'node:timers/promises';

import {pino} from 'pino';

import {FairQueueingPolicy} from '../src/admission/fair_queueing_policy.js';
import {ClaimStore} from '../src/claims/claim_store.js';
import {StoredAnswers} from '../src/claims/stored_answers.js';
import {sleep} from '../src/clock/sleep.js';
import {SystemClock} from '../src/clock/system_clock.js';
import {ClaimedCallRunner} from '../src/entry/claimed_call_runner.js';
import {EntryDependencies, EntryProcess} from '../src/entry/entry_process.js';
import {entrySettingsSchema} from '../src/entry/entry_settings.js';
import {PeerNetwork} from '../src/links/peer_network.js';
import {HttpPlatformService} from '../src/platform/http_platform_service.js';
import {VmEntry} from '../src/platform/platform_service.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {LeastLoadedRouting} from '../src/routing/least_loaded_routing.js';
import {Caller} from './caller.js';
import {FaultyLink} from './faulty_link.js';
import {freePorts} from './free_ports.js';
import {PlatformStandIn} from './platform_stand_in.js';
import {
  StaticConfiguration,
  StaticInventory,
  StaticOwnership,
  StaticOwnershipView,
} from './static_views.js';
import {TargetStandIn, TargetStandInOptions} from './target_stand_in.js';

/** Options of {@link EntryBench}. */
export interface EntryBenchOptions {
  /** Number of targets; each is a shard of its own. @default 1 */
  targets?: number;
  /** Number of entries; shards are assigned to them round-robin. @default 1 */
  entries?: number;
  /** Options applied to every target. @default {} */
  target?: Partial<TargetStandInOptions>;
  /** `entry.limits` in the settings of every entry. @default {} */
  limits?: Record<string, number>;
  /** Dependencies that replace the defaults of an entry. @default none */
  overrideDependencies?: (member: string) => Partial<EntryDependencies>;
}

/** An entry of an {@link EntryBench} with a caller that uses only this entry. */
export interface BenchEntry {
  member: string;
  process: EntryProcess;
  ownership: StaticOwnershipView;
  network: PeerNetwork;
  origin: string;
  caller: Caller;
}

/**
 * Test bench that runs entries, targets and the platform stand-in within the
 * test process. A {@link FaultyLink} relays the connections to each target.
 */
export class EntryBench {
  readonly targets: TargetStandIn[] = [];
  readonly links: FaultyLink[] = [];
  readonly entries: BenchEntry[] = [];
  readonly platform = new PlatformStandIn({vmListLagMs: 0});
  /** Number of runs by idempotency key, counted by all targets together. */
  readonly ranKeys = new Map<string, number>();
  readonly ownership = new StaticOwnership();
  readonly configuration = new StaticConfiguration();
  readonly inventory = new StaticInventory([]);

  /** True once {@link stop} has been called. */
  isStopped = false;
  private readonly cleanups: Array<() => Promise<void>> = [];

  private constructor(private readonly options: EntryBenchOptions) {}

  /**
   * Starts all parts and waits until the entries are connected to each other
   * and all targets are available.
   */
  static async start(options: EntryBenchOptions = {}): Promise<EntryBench> {
    const bench = new EntryBench(options);
    const vms: VmEntry[] = [];
    for (let index = 1; index <= (options.targets ?? 1); index++) {
      vms.push(await bench.addTarget(index));
    }
    bench.inventory.set(vms);
    await bench.startEntries();
    await bench.waitUntil(() => {
      const states = bench.entries.flatMap((e) => e.process.fleet.states());
      const isConnected = bench.entries.every((entry) =>
        bench.entries.every(
          ({member}) =>
            member === entry.member ||
            entry.network.isConnected('entry', member),
        ),
      );
      return (
        isConnected &&
        states.length === vms.length &&
        states.every(({isAvailable}) => isAvailable)
      );
    });
    return bench;
  }

  /** The first entry; for benches with a single entry. */
  get entry(): BenchEntry {
    return this.entries[0]!;
  }

  /** Waits until a condition holds; throws after `timeoutMs`. */
  async waitUntil(condition: () => boolean, timeoutMs = 8000): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (!condition()) {
      if (performance.now() > deadlineMs) {
        throw new Error(
          `Timed out waiting for condition: ${condition.toString()}`,
        );
      }
      await sleep(2);
      await setImmediate();
    }
  }

  /** Sends short requests to each entry, which also fills its retry budget. */
  async warmUp(count = 120): Promise<void> {
    for (const {caller} of this.entries) {
      await Promise.all(
        Array.from({length: count}, () => caller.call({workMs: 1})),
      );
    }
  }

  /** Total number of protocol violations that the targets counted. */
  violations(): number {
    return this.targets
      .flatMap((target) => Object.values(target.violations) as number[])
      .reduce((sum, count) => sum + count, 0);
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const entry of this.entries) {
      entry.process.destroy();
      await entry.caller.stop();
      await entry.network.stop();
    }
    for (const cleanup of this.cleanups) await cleanup();
    await this.platform.stop();
    await Promise.all(this.links.map((link) => link.stop()));
    await Promise.all(this.targets.map((target) => target.stop()));
  }

  private async addTarget(index: number): Promise<VmEntry> {
    const target = new TargetStandIn({
      target: `target-${index}`,
      ranKeys: this.ranKeys,
      ...this.options.target,
    });
    const targetPort = await target.listen('127.0.0.1', 0);
    const link = new FaultyLink({targetPort, seed: index});
    this.targets.push(target);
    this.links.push(link);
    return {
      vm: `target-${index}`,
      dataCentre: 'levis',
      kind: 'target',
      host: '127.0.0.1',
      port: await link.listen(),
      shard: `group-${index}`,
      service: 'portal',
      state: 'live',
    };
  }

  private async startEntries(): Promise<void> {
    const count = this.options.entries ?? 1;
    const ports = await freePorts(count * 2);
    const platformPort = await this.platform.listen('127.0.0.1', 0);
    const members = Array.from({length: count}, (_, index) => ({
      member: `vm-${index + 1}`,
      dataCentre: 'levis',
      host: '127.0.0.1',
      entryHttpPort: ports[index * 2]!,
      entryLinkPort: ports[index * 2 + 1]!,
      schedulerLinkPort: 0,
    }));
    this.inventory.list().forEach(({shard}, index) => {
      this.ownership.assign(shard, members[index % count]!.member, 1);
    });
    for (const {member} of members) {
      const settings = entrySettingsSchema.parse({
        member,
        dataCentre: 'levis',
        region: 'quebec-capitale',
        linkToken: 'link-token-for-tests',
        members,
        platform: {
          origin: `http://127.0.0.1:${platformPort}`,
          timeoutMs: 200,
        },
        entry: {stopNoticeMs: 300, limits: this.options.limits},
      });
      await this.startEntry(settings);
    }
  }

  private async startEntry(
    settings: EntryDependencies['settings'],
  ): Promise<void> {
    const {member, dataCentre, members} = settings;
    const own = members.find((address) => address.member === member)!;
    const clock = new SystemClock();
    const random = new SeededRandom(this.entries.length + 1);
    const incarnation = randomUUID();
    const token = settings.linkToken;
    const network = new PeerNetwork({
      identity: {member, incarnation, role: 'entry', dataCentre, token},
      clock,
      random,
    });
    await network.listen(own.host, own.entryLinkPort);
    for (const other of members) {
      if (other === own) continue;
      const port = other.entryLinkPort;
      network.connect({...other, role: 'entry', port});
    }
    const ownership = this.ownership.viewOf(member);
    const platform = new HttpPlatformService({...settings.platform});
    const claims = new ClaimStore({platform, clock, member, incarnation});
    this.cleanups.push(() => {
      claims.stop();
      return platform.stop();
    });
    const entry = new EntryProcess({
      settings,
      clock,
      random,
      logger: pino({level: 'silent'}),
      network,
      inventory: this.inventory,
      ownership,
      configuration: this.configuration,
      admission: new FairQueueingPolicy({
        clock,
        contracts: this.configuration,
      }),
      createRouting: () => new LeastLoadedRouting({clock, random}),
      keyedCalls: new ClaimedCallRunner({
        claims,
        answers: new StoredAnswers({clock}),
        clock,
        network,
      }),
      isReady: () => true,
      ...this.options.overrideDependencies?.(member),
    });
    await entry.listen(own.host, own.entryHttpPort);
    const origin = `http://${own.host}:${own.entryHttpPort}`;
    const caller = new Caller({origins: [origin], key: 'alice'});
    this.entries.push({
      member,
      process: entry,
      ownership,
      network,
      origin,
      caller,
    });
  }
}

/** Runs `body` with a new bench and stops the bench afterwards. */
export async function withBench(
  options: EntryBenchOptions,
  body: (bench: EntryBench) => Promise<void>,
): Promise<void> {
  const bench = await EntryBench.start(options);
  try {
    await body(bench);
  } finally {
    await bench.stop();
  }
}
