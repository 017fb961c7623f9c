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

/** Runs the scheduler until a signal stops it. */
export async function runScheduler(settings: SchedulerSettings): Promise<void> {
  const own = settings.members.find(({member}) => member === settings.member);
  if (!own) {
    throw new ResultError(
      ResultCodes.SETTINGS_INVALID,
      `Cannot start: member "${settings.member}" does not occur in "members"`,
    );
  }
  const parts = composeScheduler(settings);
  await parts.resolve(Inventory).start();
  parts.resolve(SchedulerProcess);
  parts.resolve(Membership);
  await parts.resolve(PeerNetwork).listen(own.host, own.schedulerLinkPort);
  parts.resolve(ConfigurationPropagation).start();
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) return;
    isStopping = true;
    void stop(parts).then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function stop(parts: DependencyContainer): Promise<void> {
  await parts.resolve(SchedulerProcess).stop();
  parts.resolve(ConfigurationPropagation).stop();
  parts.resolve(Inventory).stop();
  parts.resolve(Membership).stop();
  await parts.resolve(PeerNetwork).stop();
  await parts.resolve(HttpPlatformService).stop();
}
