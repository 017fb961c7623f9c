import {DependencyContainer} from 'tsyringe';

import {ConfigurationPropagation} from '../contracts/configuration_propagation.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Membership} from '../membership/membership.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {Inventory} from '../platform/inventory.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {composeScheduler} from './compose_scheduler.js';
import {SchedulerProcess} from './scheduler_process.js';
import {SchedulerSettings} from './scheduler_settings.js';

/** Starts the scheduler, which runs until SIGTERM or SIGINT stops it. */
export async function runScheduler(settings: SchedulerSettings): Promise<void> {
  const own = settings.members.find(({member}) => member === settings.member);
  if (!own) {
    throw new ResultError(
      ResultCodes.SETTINGS_INVALID,
      `Cannot start: member "${settings.member}" is not listed in "members"`,
    );
  }
  const container = composeScheduler(settings);
  await container.resolve(Inventory).start();
  container.resolve(SchedulerProcess);
  container.resolve(Membership);
  await container.resolve(PeerNetwork).listen(own.host, own.schedulerLinkPort);
  container.resolve(ConfigurationPropagation).start();
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    void stop(container).then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function stop(container: DependencyContainer): Promise<void> {
  await container.resolve(SchedulerProcess).stop();
  container.resolve(ConfigurationPropagation).stop();
  container.resolve(Inventory).stop();
  container.resolve(Membership).stop();
  await container.resolve(PeerNetwork).stop();
  await container.resolve(HttpPlatformService).stop();
}
