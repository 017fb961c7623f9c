import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';

import {pino} from 'pino';

import {FaultyLink} from '../../testing/faulty_link.js';
import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Membership} from '../membership/membership.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {SeededRandom} from '../random/seeded_random.js';
import {OwnershipManager} from './ownership_manager.js';

const SHARDS = ['r1', 'r2', 'r3', 'r4'];
const NAMES = ['a', 'b', 'c'];
const TAKEOVER_LIMIT_MS = 3900;

/** A member running in the test process. */
interface Member {
  manager: OwnershipManager;
  stop(): Promise<void>;
}

/** Three members whose links pass through relays that can inject faults. */
class TestGroup {
  readonly platform = new PlatformStandIn();
  readonly members = new Map<string, Member>();
  readonly relays = new Map<string, FaultyLink>();
  private readonly networks = new Map<string, PeerNetwork>();
  private platformPort = 0;

  async start(): Promise<void> {
    this.platformPort = await this.platform.listen('127.0.0.1', 0);
    const ports = new Map<string, number>();
    for (const name of NAMES) {
      const network = this.createNetwork(name);
      this.networks.set(name, network);
      ports.set(name, await network.listen('127.0.0.1', 0));
    }
    for (const name of NAMES) await this.startMember(name, ports);
  }

  async stop(): Promise<void> {
    for (const member of this.members.values()) await member.stop();
    for (const relay of this.relays.values()) await relay.stop();
    await this.platform.stop();
  }

  /** Owner of each shard according to the member `name`; '' if unknown. */
  ownersSeenBy(name: string): string[] {
    const {manager} = this.members.get(name)!;
    return SHARDS.map((shard) => manager.ownerOf(shard)?.member ?? '');
  }

  async waitFor(condition: () => boolean, limitMs: number): Promise<number> {
    const startMs = performance.now();
    while (!condition()) {
      const elapsedMs = performance.now() - startMs;
      if (elapsedMs > limitMs) assert.fail(`not met within ${limitMs} ms`);
      await sleep(10);
    }
    return performance.now() - startMs;
  }

  private createNetwork(name: string): PeerNetwork {
    return new PeerNetwork({
      identity: {
        member: name,
        incarnation: `${name}-1`,
        role: 'scheduler',
        dataCentre: 'levis',
        token: 'token-of-all-members',
      },
      clock: new SystemClock(),
      random: new SeededRandom(1),
    });
  }

  private async startMember(
    name: string,
    ports: ReadonlyMap<string, number>,
  ): Promise<void> {
    const network = this.networks.get(name)!;
    const peers = [];
    for (const other of NAMES.filter((candidate) => candidate !== name)) {
      const relay = new FaultyLink({targetPort: ports.get(other)!});
      this.relays.set(`${name}>${other}`, relay);
      peers.push({
        member: other,
        role: 'scheduler',
        dataCentre: 'levis',
        host: '127.0.0.1',
        port: await relay.listen(),
      });
    }
    const membership = new Membership({
      network,
      peers,
      clock: new SystemClock(),
      contents: () => ({
        ownershipRevision: manager.revision,
        configurationRevision: 0,
        load: null,
      }),
    });
    const platform = new HttpPlatformService({
      origin: `http://127.0.0.1:${this.platformPort}`,
    });
    const manager: OwnershipManager = new OwnershipManager({
      platform,
      membership,
      network,
      clock: new SystemClock(),
      random: new SeededRandom(2),
      logger: pino({level: 'silent'}),
      shards: () => SHARDS,
      joinAfterMs: 0,
    });
    const stop = async (): Promise<void> => {
      membership.stop();
      await network.stop();
      await platform.stop();
    };
    this.members.set(name, {manager, stop});
  }
}

let group: TestGroup;

async function startedGroup(): Promise<TestGroup> {
  group = new TestGroup();
  await group.start();
  await group.waitFor(
    () => NAMES.every((name) => new Set(group.ownersSeenBy(name)).size === 3),
    5000,
  );
  return group;
}

afterEach(() => group.stop());

test('reassigns the shards of a dead member within 3.9 s', async () => {
  // Guards against work that stays assigned to a VM that has failed.
  await startedGroup();
  await group.members.get('a')!.stop();
  await group.waitFor(
    () => !group.ownersSeenBy('b').includes('a'),
    TAKEOVER_LIMIT_MS,
  );
});

test('moves no shard when only the link between two members fails', async () => {
  // Guards against ownership that flaps because of one broken link.
  await startedGroup();
  const before = group.ownersSeenBy('c');
  group.relays.get('a>b')!.setFaults({cut: true});
  group.relays.get('b>a')!.setFaults({cut: true});
  await sleep(3000);
  assert.deepEqual(group.ownersSeenBy('c'), before);
});

test('an isolated member keeps its shards while it reaches the platform', async () => {
  // Guards against a takeover from a member that no peer hears but that still
  // works and serves callers.
  await startedGroup();
  const before = group.ownersSeenBy('b');
  for (const [linkName, relay] of group.relays) {
    if (linkName.includes('a')) relay.setFaults({cut: true});
  }
  await sleep(4000);
  assert.deepEqual(group.ownersSeenBy('b'), before);
});

test('recognizes its own write after losing the response', async () => {
  // Guards against a member that ignores a record that it wrote itself because
  // the platform's response to the write was lost.
  await startedGroup();
  group.platform.setFaults({loseAnswers: 1});
  await group.members.get('c')!.stop();
  await group.waitFor(
    () => !group.ownersSeenBy('a').includes('c'),
    TAKEOVER_LIMIT_MS,
  );
});

test('hands over all shards immediately on a planned stop', async () => {
  // Guards against shards without an owner until the failure detector reacts to
  // a planned stop.
  await startedGroup();
  assert.equal(await group.members.get('b')!.manager.handOver(), true);
  await group.waitFor(() => !group.ownersSeenBy('a').includes('b'), 500);
});

test('keeps ownership unchanged while the platform is down', async () => {
  // Guards against owners that stop working because a lease expires while the
  // platform is down.
  await startedGroup();
  const before = group.ownersSeenBy('a');
  group.platform.setFaults({down: true});
  await group.members.get('c')!.stop();
  await sleep(2500);
  assert.deepEqual(group.ownersSeenBy('a'), before);
  group.platform.setFaults({});
  await group.waitFor(
    () => !group.ownersSeenBy('a').includes('c'),
    TAKEOVER_LIMIT_MS,
  );
});
