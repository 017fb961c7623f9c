import 'reflect-metadata';

import {randomUUID} from 'node:crypto';

import {Logger} from 'pino';
import {container, DependencyContainer, instanceCachingFactory} from 'tsyringe';
import {Agent} from 'undici';

import {Clock} from '../clock/clock.js';
import {SystemClock} from '../clock/system_clock.js';
import {ConfigurationPropagation} from '../contracts/configuration_propagation.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {createPropagation} from '../contracts/create_propagation.js';
import {SlowdownModel} from '../interference/slowdown_model.js';
import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {createLogger} from '../logging/create_logger.js';
import {Membership} from '../membership/membership.js';
import {OwnershipManager} from '../ownership/ownership_manager.js';
import {HeadroomFit} from '../placement/headroom_fit.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {Inventory} from '../platform/inventory.js';
import {VmKind} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {SeededRandom} from '../random/seeded_random.js';
import {HttpWorkerClient} from '../workers/http_worker_client.js';
import {SchedulerLoad, SchedulerProcess} from './scheduler_process.js';
import {SchedulerSettings} from './scheduler_settings.js';

const ROLE = 'scheduler';

/** Dependencies that most components share. */
interface Context {
  settings: SchedulerSettings;
  clock: Clock;
  logger: Logger;
  random: RandomSource;
}

/**
 * Builds the dependency injection container of the scheduler. Singletons are
 * created when they are first resolved.
 */
export function composeScheduler(
  settings: SchedulerSettings,
): DependencyContainer {
  const dependencies = container.createChildContainer();
  const provide = <T>(
    token: new (...args: never[]) => T,
    create: () => T,
  ): void => {
    dependencies.register(token as new (...args: unknown[]) => T, {
      useFactory: instanceCachingFactory(create),
    });
  };
  const clock = new SystemClock();
  const logger = createLogger('banyanmux-scheduler', {
    level: settings.logging.level,
    fields: {member: settings.member},
  });
  const {seed} = settings.scheduler;
  const random = new SeededRandom(
    seed === 0 ? Math.floor(clock.wallMs()) : seed,
  );
  const context = {settings, clock, logger, random};
  const platform = new HttpPlatformService(settings.platform);
  provide(HttpPlatformService, () => platform);
  provide(ConfigurationStore, () => new ConfigurationStore({clock}));
  provide(ConfigurationPropagation, () =>
    createPropagation({
      ...context,
      network: dependencies.resolve(PeerNetwork),
      store: dependencies.resolve(ConfigurationStore),
      platform,
      livingEntries: () => [],
    }),
  );
  provide(PeerNetwork, () => createNetwork(context));
  provide(Inventory, () => {
    const {dataCentre, platform: platformSettings} = settings;
    const intervalMs = platformSettings.vmListIntervalMs;
    return new Inventory({platform, dataCentre, intervalMs});
  });
  provide(Membership, () => createMembership(context, dependencies));
  provide(OwnershipManager, () => createOwnership(context, dependencies));
  provide(SchedulerProcess, () => createProcess(context, dependencies));
  return dependencies;
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

function createMembership(
  {settings, clock}: Context,
  dependencies: DependencyContainer,
): Membership {
  const peers: PeerAddress[] = settings.members
    .filter(({dataCentre}) => dataCentre === settings.dataCentre)
    .filter(({member}) => member !== settings.member)
    .map(({member, dataCentre, host, schedulerLinkPort}) => ({
      member,
      role: ROLE,
      dataCentre,
      host,
      port: schedulerLinkPort,
    }));
  return new Membership({
    network: dependencies.resolve(PeerNetwork),
    peers,
    clock,
    heartbeatMs: settings.membership.heartbeatMs,
    suspectAfterMs: settings.membership.suspectAfterMs,
    contents: () => ({
      ownershipRevision: dependencies.resolve(OwnershipManager).revision,
      configurationRevision: dependencies.resolve(ConfigurationStore).revision,
      load: dependencies.resolve(SchedulerProcess).load(),
    }),
  });
}

function createOwnership(
  {settings, clock, random, logger}: Context,
  dependencies: DependencyContainer,
): OwnershipManager {
  const inventory = dependencies.resolve(Inventory);
  const manager: OwnershipManager = new OwnershipManager({
    platform: dependencies.resolve(HttpPlatformService),
    membership: dependencies.resolve(Membership),
    network: dependencies.resolve(PeerNetwork),
    clock,
    random,
    logger,
    // Recorded shards are included because a rack that has lost all its VMs may
    // still have stored jobs.
    shards: () => [
      ...new Set([...workerShards(inventory), ...manager.recordedShards()]),
    ],
    joinAfterMs: settings.membership.joinAfterMs,
  });
  return manager;
}

function workerShards(inventory: Inventory): string[] {
  const workers = inventory.list().filter(({kind}) => kind === VmKind.WORKER);
  return [...new Set(workers.map(({shard}) => shard))];
}

function createProcess(
  {settings, clock, random, logger}: Context,
  dependencies: DependencyContainer,
): SchedulerProcess {
  const agent = new Agent({connections: 1, pipelining: 1});
  const clients = new Map<string, HttpWorkerClient>();
  const timeoutMs = settings.scheduler.workerTimeoutMs;
  const slowdowns = new SlowdownModel(clock);
  const scheduler = new SchedulerProcess({
    settings,
    clock,
    random,
    logger,
    network: dependencies.resolve(PeerNetwork),
    platform: dependencies.resolve(HttpPlatformService),
    inventory: dependencies.resolve(Inventory),
    ownership: dependencies.resolve(OwnershipManager),
    configuration: dependencies.resolve(ConfigurationStore),
    createPlacement: () =>
      new HeadroomFit({
        clock,
        slowdown: (kind, neighbour) => slowdowns.slowdown(kind, neighbour),
      }),
    slowdowns,
    clientOf: ({host, port}) => {
      const name = host.includes(':') ? `[${host}]` : host;
      const origin = `http://${name}:${port}`;
      const client =
        clients.get(origin) ?? new HttpWorkerClient({origin, agent, timeoutMs});
      clients.set(origin, client);
      return client;
    },
  });
  const propagation = dependencies.resolve(ConfigurationPropagation);
  dependencies.resolve(Membership).onHeartbeat((heartbeat, from) => {
    if (from.role === ROLE) {
      scheduler.recordPeerLoad(
        heartbeat.load as Partial<SchedulerLoad> | undefined,
      );
    } else {
      propagation.onHeartbeat(
        heartbeat.member,
        heartbeat.configurationRevision,
      );
    }
  });
  return scheduler;
}
