import assert from 'node:assert/strict';
import {test, TestContext} from 'node:test';

import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {sleep} from '../clock/sleep.js';
import {SystemClock} from '../clock/system_clock.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {SeededRandom} from '../random/seeded_random.js';
import {stopKey} from './configuration_key.js';
import {ConfigurationPeer} from './configuration_peer.js';
import {ConfigurationPropagation} from './configuration_propagation.js';
import {ConfigurationStore} from './configuration_store.js';
import {
  chooseExchangePeers,
  isWatcher,
  needsFullList,
} from './propagation_plan.js';

const clock = new SystemClock();
const KEY = stopKey('vm-1');

function createPeer(
  store: ConfigurationStore,
  dataCentre: string,
): ConfigurationPeer {
  return {
    member: `${dataCentre}-peer`,
    dataCentre,
    fetchDelta: (revision) => Promise.resolve(store.deltaSince(revision)),
  };
}

interface Fixture {
  fakePlatform: PlatformStandIn;
  platform: HttpPlatformService;
  startProcess: (
    remotePeers?: ConfigurationPeer[],
    localPeers?: ConfigurationPeer[],
  ) => {
    store: ConfigurationStore;
    propagation: ConfigurationPropagation;
  };
}

async function setUp(context: TestContext): Promise<Fixture> {
  const fakePlatform = new PlatformStandIn();
  const port = await fakePlatform.listen('127.0.0.1', 0);
  const platform = new HttpPlatformService({
    origin: `http://127.0.0.1:${port}`,
  });
  const started: ConfigurationPropagation[] = [];
  context.after(async () => {
    for (const propagation of started) propagation.stop();
    await platform.stop();
    await fakePlatform.stop();
  });
  return {
    fakePlatform,
    platform,
    startProcess: (remotePeers = [], localPeers = []) => {
      const store = new ConfigurationStore({clock});
      const propagation = new ConfigurationPropagation({
        store,
        platform,
        clock,
        random: new SeededRandom(1),
        self: 'a',
        role: 'entry',
        localPeers,
        remotePeers,
        livingEntries: () => ['a', 'b', 'c'],
        exchangeIntervalMs: 50,
      });
      started.push(propagation);
      propagation.start();
      return {store, propagation};
    },
  };
}

async function waitUntil(
  condition: () => boolean,
  limitMs = 4000,
): Promise<void> {
  const endMs = clock.nowMs() + limitMs;
  while (!condition() && clock.nowMs() < endMs) await sleep(10);
  assert.ok(condition(), `condition not met within ${limitMs} ms`);
}

test('a process that starts while the platform is down reads from its peers', async (context) => {
  // Guards against a restart during an outage that leaves a VM unusable, and
  // against taking the response of a peer without configuration as valid.
  const {fakePlatform, startProcess} = await setUp(context);
  fakePlatform.setFaults({down: true});
  const unconfirmedPeerStore = new ConfigurationStore({clock});
  const confirmedPeerStore = new ConfigurationStore({clock});
  const waiting = startProcess([createPeer(unconfirmedPeerStore, 'x')]);
  await sleep(200);
  assert.equal(waiting.store.isReady, false);
  confirmedPeerStore.applyChange({key: KEY, value: '{}', revision: 7});
  confirmedPeerStore.applyDelta(
    {...confirmedPeerStore.deltaSince(7), ageMs: 0},
    clock.nowMs(),
  );
  const {store, propagation} = startProcess([
    createPeer(confirmedPeerStore, 'y'),
  ]);
  await propagation.whenReady();
  assert.equal(store.entry(KEY)?.revision, 7);
});

test('changes are received after an outage, from the last revision on', async (context) => {
  // Guards against a watch that ends at the first failure, and against changes
  // made during an outage that are never received.
  const {fakePlatform, platform, startProcess} = await setUp(context);
  const {store, propagation} = startProcess();
  await propagation.whenReady();
  const write = (expectedRevision: number): Promise<unknown> =>
    platform.write({key: KEY, value: '{}', expectedRevision});
  await write(0);
  await waitUntil(() => store.entry(KEY)?.revision === 1);
  fakePlatform.setFaults({down: true});
  await sleep(300);
  fakePlatform.setFaults({});
  await write(1);
  await waitUntil(() => store.entry(KEY)?.revision === 2);
  await platform.delete(KEY, 2);
  await waitUntil(() => store.entry(KEY) === undefined);
});

test('a stale peer does not revert a change from the platform', async (context) => {
  // Guards against old values from a partitioned data centre that propagate
  // when it is reachable again.
  const {platform, startProcess} = await setUp(context);
  await platform.write({key: KEY, value: '1', expectedRevision: 0});
  await platform.write({key: KEY, value: '2', expectedRevision: 1});
  const stalePeerStore = new ConfigurationStore({clock});
  stalePeerStore.applyChange({key: KEY, value: '1', revision: 1});
  const {store} = startProcess([createPeer(stalePeerStore, 'x')]);
  await waitUntil(() => store.entry(KEY)?.revision === 2);
  await sleep(200);
  assert.equal(store.entry(KEY)?.value, '2');
});

test('a heartbeat with a newer revision triggers a request for changes', async (context) => {
  // Guards against entries without a watch that receive changes only through
  // the slower periodic requests.
  const {startProcess} = await setUp(context);
  const peerStore = new ConfigurationStore({clock});
  const peer = createPeer(peerStore, 'a');
  const {propagation, store} = startProcess([], [peer]);
  await propagation.whenReady();
  await sleep(100);
  peerStore.applyChange({key: KEY, value: '{}', revision: 7});
  propagation.onHeartbeat(peer.member, peerStore.revision);
  await waitUntil(() => store.revision === 7, 200);
});

test('the two lowest entries watch, and a long gap requires a full list', () => {
  // Guards against a call rate that grows with the number of entries, and
  // against missing changes that the platform no longer keeps when a watch
  // resumes.
  const liveEntries = ['a', 'b', 'c'];
  const watchers = liveEntries.filter((member) =>
    isWatcher(member, liveEntries),
  );
  assert.deepEqual(watchers, ['a', 'b']);
  const state = {
    hasListed: true,
    timeSinceListMs: 60_000,
    timeSinceResponseMs: 1000,
  };
  assert.equal(needsFullList(state), false);
  assert.equal(needsFullList({...state, timeSinceResponseMs: 31_000}), true);
  const peers = ['x', 'x', 'x', 'y'].map((dataCentre) => ({dataCentre}));
  const chosen = chooseExchangePeers(peers, new SeededRandom(3));
  assert.deepEqual(new Set(chosen.map((p) => p.dataCentre)).size, 2);
});
