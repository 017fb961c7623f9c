import 'reflect-metadata';

import {randomUUID} from 'node:crypto';

import {Logger} from 'pino';
import {container, DependencyContainer, instanceCachingFactory} from 'tsyringe';

import {FairQueueingPolicy} from '../admission/fair_queueing_policy.js';
import {ClaimStore} from '../claims/claim_store.js';
import {StoredAnswers} from '../claims/stored_answers.js';
import {Clock} from '../clock/clock.js';
import {SystemClock} from '../clock/system_clock.js';
import {ConfigurationEditor} from '../contracts/configuration_editor.js';
import {ConfigurationPropagation} from '../contracts/configuration_propagation.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {createPropagation} from '../contracts/create_propagation.js';
import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {createLogger} from '../logging/create_logger.js';
import {Membership} from '../membership/membership.js';
import {
  addOperatorRoutes,
  OperatorRoutesOptions,
} from '../operators/add_operator_routes.js';
import {OperatorAccess} from '../operators/operator_access.js';
import {OwnershipManager} from '../ownership/ownership_manager.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {Inventory} from '../platform/inventory.js';
import {VmKind} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {SeededRandom} from '../random/seeded_random.js';
import {LeastLoadedRouting} from '../routing/least_loaded_routing.js';
import {ClaimedCallRunner} from './claimed_call_runner.js';
import {EntryProcess} from './entry_process.js';
import {EntrySettings} from './entry_settings.js';
import {JobClient} from './job_client.js';
import {JobRoutes} from './job_routes.js';
import {JobSubmission} from './job_submission.js';

/** Load that entries report in their heartbeats. */
export interface EntryLoad {
  /** Number of free slots by service. */
  free: Record<string, number>;
}

/**
 * Registers the components of the entry program in a container, which creates
 * each instance on first use.
 */
export function composeEntry(settings: EntrySettings): DependencyContainer {
  const dependencies = container.createChildContainer();
  const provide = <T>(
    token: new (...vmListSettings: never[]) => T,
    create: () => T,
  ): void => {
    dependencies.register(token as new (...given: unknown[]) => T, {
      useFactory: instanceCachingFactory(create),
    });
  };
  const clock = new SystemClock();
  const logger = createLogger('banyanmux-entry', {
    level: settings.logging.level,
    fields: {member: settings.member},
  });
  const random = createRandom(settings, clock);
  const platform = new HttpPlatformService(settings.platform);
  const context = {settings, clock, logger, random};
  provide(HttpPlatformService, () => platform);
  provide(PeerNetwork, () => createNetwork(context));
  provide(Inventory, () => {
    const {dataCentre, platform: given} = settings;
    const intervalMs = given.vmListIntervalMs;
    return new Inventory({platform, dataCentre, intervalMs});
  });
  provide(Membership, () => createMembership(context, dependencies));
  provide(OwnershipManager, () => createOwnership(context, dependencies));
  provide(ConfigurationStore, () => new ConfigurationStore({clock}));
  provide(ConfigurationPropagation, () =>
    createPropagation({
      ...context,
      network: dependencies.resolve(PeerNetwork),
      store: dependencies.resolve(ConfigurationStore),
      platform,
      livingEntries: () => dependencies.resolve(OwnershipManager).liveMembers(),
    }),
  );
  provide(ClaimStore, () => {
    const {member, incarnation} = dependencies.resolve(PeerNetwork).identity;
    return new ClaimStore({platform, clock, member, incarnation});
  });
  provide(EntryProcess, () => createProcess(context, dependencies));
  return dependencies;
}

/** Values that are shared by all components. */
interface Context {
  settings: EntrySettings;
  clock: Clock;
  logger: Logger;
  random: RandomSource;
}

const ROLE = 'entry';

function createRandom(settings: EntrySettings, clock: Clock): RandomSource {
  const {seed} = settings.entry;
  return new SeededRandom(seed === 0 ? Math.floor(clock.wallMs()) : seed);
}

function createNetwork({settings, clock, random}: Context): PeerNetwork {
  return new PeerNetwork({
    identity: {
      member: settings.member,
      incarnation: randomUUID(),
      role: ROLE,
      dataCentre: settings.dataCentre,
      token: settings.linkToken,
    },
    clock,
    random,
  });
}

/**
 * Returns the link addresses of the entries or schedulers of this data centre.
 */
function addressesOf(
  settings: EntrySettings,
  role: 'entry' | 'scheduler',
): PeerAddress[] {
  return settings.members
    .filter(({dataCentre}) => dataCentre === settings.dataCentre)
    .filter(({member}) => role !== ROLE || member !== settings.member)
    .map(({member, dataCentre, host, entryLinkPort, schedulerLinkPort}) => ({
      member,
      role,
      dataCentre,
      host,
      port: role === ROLE ? entryLinkPort : schedulerLinkPort,
    }));
}

/**
 * Returns the members of this data centre whose schedulers handle job requests,
 * this one first.
 */
function schedulersOf(settings: EntrySettings): string[] {
  const others = addressesOf(settings, 'entry').map(({member}) => member);
  return [settings.member, ...others];
}

function createMembership(
  {settings, clock}: Context,
  dependencies: DependencyContainer,
): Membership {
  return new Membership({
    network: dependencies.resolve(PeerNetwork),
    peers: addressesOf(settings, 'entry'),
    listeners: addressesOf(settings, 'scheduler'),
    clock,
    heartbeatMs: settings.membership.heartbeatMs,
    suspectAfterMs: settings.membership.suspectAfterMs,
    contents: () => ({
      ownershipRevision: dependencies.resolve(OwnershipManager).revision,
      configurationRevision: dependencies.resolve(ConfigurationStore).revision,
      load: {free: dependencies.resolve(EntryProcess).fleet.freeSlots()},
    }),
  });
}

function createOwnership(
  {settings, clock, random, logger}: Context,
  dependencies: DependencyContainer,
): OwnershipManager {
  const inventory = dependencies.resolve(Inventory);
  return new OwnershipManager({
    platform: dependencies.resolve(HttpPlatformService),
    membership: dependencies.resolve(Membership),
    network: dependencies.resolve(PeerNetwork),
    clock,
    random,
    logger,
    shards: () => targetShards(inventory),
    joinAfterMs: settings.membership.joinAfterMs,
  });
}

function targetShards(inventory: Inventory): string[] {
  const targets = inventory.list().filter(({kind}) => kind === VmKind.TARGET);
  return [...new Set(targets.map(({shard}) => shard))];
}

function createProcess(
  {settings, clock, random, logger}: Context,
  dependencies: DependencyContainer,
): EntryProcess {
  const configuration = dependencies.resolve(ConfigurationStore);
  const network = dependencies.resolve(PeerNetwork);
  const ownership = dependencies.resolve(OwnershipManager);
  const {limits} = settings.entry;
  const claims = dependencies.resolve(ClaimStore);
  const {dataCentre} = settings;
  const client = new JobClient({
    network,
    dataCentre,
    schedulers: schedulersOf(settings),
    entriesOf: (name) =>
      settings.members
        .filter((address) => address.dataCentre === name)
        .map(({member}) => member),
  });
  const jobs = new JobRoutes({
    configuration,
    client,
    submission: new JobSubmission({client, claims, clock, dataCentre}),
    clock,
    limits,
    refusal: () => entry.refusal(),
  });
  const operatorRoutes: OperatorRoutesOptions = {
    store: configuration,
    editor: new ConfigurationEditor({
      platform: dependencies.resolve(HttpPlatformService),
      clock,
      store: configuration,
    }),
    decisions: {
      getDecisions: (subject) => entry.decisions.getDecisions(subject),
    },
    livingEntries: () => ownership.liveMembers().length,
    access: new OperatorAccess(settings.entry.operators),
    status: () => ({
      member: settings.member,
      dataCentre: settings.dataCentre,
      livingMembers: ownership.liveMembers(),
      ownedShards: ownership.ownedShards(),
      ownershipRevision: ownership.revision,
      freeSlots: entry.fleet.freeSlots(),
    }),
  };
  const entry: EntryProcess = new EntryProcess({
    settings,
    clock,
    random,
    logger,
    network,
    inventory: dependencies.resolve(Inventory),
    ownership,
    configuration,
    admission: new FairQueueingPolicy({
      clock,
      contracts: configuration,
      livingEntries: () => ownership.liveMembers().length,
    }),
    createRouting: () => new LeastLoadedRouting({clock, random}),
    keyedCalls: new ClaimedCallRunner({
      claims,
      answers: new StoredAnswers({clock}),
      clock,
      network,
    }),
    isReady: () => configuration.isReady,
    routes: [
      (app) => jobs.mount(app),
      (app) => addOperatorRoutes(app, operatorRoutes),
    ],
  });
  const propagation = dependencies.resolve(ConfigurationPropagation);
  dependencies.resolve(Membership).onHeartbeat((heartbeat) => {
    const {member, load, configurationRevision} = heartbeat;
    propagation.onHeartbeat(member, configurationRevision);
    const {free} = (load ?? {}) as Partial<EntryLoad>;
    if (free) entry.peers.recordFreeSlots(member, free);
  });
  return entry;
}
